"""Steps for the build of the deploy file, with a stand-in for Python and pip."""

import os
import subprocess
import tempfile
import tomllib
from pathlib import Path

from behave import then, when
from behave.runner import Context

DEPLOY_FILE = Path(__file__).resolve().parents[2] / "deploy" / "system.toml"
# Installs one library, which can be loaded; loads whatever is installed.
PYTHON_STANDIN = """#!/bin/sh
case "$*" in
*"pip install"*)
    echo install >> installs
    mkdir -p target/deps && touch target/deps/new
    ;;
*) [ -d target/deps ] && [ ! -e target/deps/not_loadable ] ;;
esac
"""
OLD_S, NEW_S = 1_000_000_000, 2_000_000_000


@when("the system is built where the libraries of an earlier build are {state}")
def when_built(context: Context, state: str) -> None:
    build = tomllib.loads(DEPLOY_FILE.read_text())["build"]
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        standin = folder / "bin" / "python3"
        standin.parent.mkdir()
        standin.write_text(PYTHON_STANDIN)
        standin.chmod(0o755)
        place_earlier(folder, state)
        path = f"{standin.parent}:{os.environ['PATH']}"
        subprocess.run(["sh", "-c", build], cwd=folder, env={"PATH": path}, check=True)
        installs = folder / "installs"
        context.installs = len(installs.read_text().split()) if installs.exists() else 0
        context.libraries = sorted(found.name for found in (folder / "target/deps").iterdir())


def place_earlier(folder: Path, state: str) -> None:
    """Places the list of libraries, and what an earlier build installed."""
    listed = folder / "requirements.txt"
    listed.write_text("msgspec\n")
    os.utime(listed, (NEW_S, NEW_S) if state.startswith("older") else (OLD_S, OLD_S))
    if state == "missing":
        return
    libraries = folder / "target" / "deps"
    libraries.mkdir(parents=True)
    (libraries / ("not_loadable" if state == "not loadable" else "earlier")).touch()


@then("the libraries are installed {times:d} times, and none of the earlier ones is left: {is_new}")
def then_installed(context: Context, times: int, is_new: str) -> None:
    assert context.installs == times, context.installs
    assert (context.libraries == ["new"]) == (is_new == "yes"), context.libraries
