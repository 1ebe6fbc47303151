"""`make test`: runs every check of CI, several at a time, and prints the totals.

Checks of `LONE_CHECKS` run afterwards, one at a time, since other load would disturb them.

Each check is a command. KNOWN-RED.txt lists checks and scenarios that fail for an open fault; their
failures are printed but not counted. The last line reads `N passed, N failed`.
"""

import os
import re
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
BIN = Path(sys.executable).parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PYTHON = sys.executable
MAX_CONCURRENT_CHECKS = 6
# Marks an entry of KNOWN-RED.txt that CI doesn't run, as it needs the users' bench or other load.
NOT_IN_CI = "(not in CI)"
# With a fixed hash seed, sets iterate in the same order in each run, so a seed gives one schedule.
ENVIRONMENT = os.environ | {"PYTHONHASHSEED": "0"}
SCENARIO_COUNTS = re.compile(
    r"^(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?, (\d+) skipped", re.MULTILINE
)
KNOWN_RED_LINE = re.compile(r"^known red: (.*)$", re.MULTILINE)
FAILING_SCENARIO = re.compile(r"^\s+features/\S+:\d+\s+(.*)$", re.MULTILINE)
# Why a step failed: behave's own line, or the last line of a traceback.
FAILURE_REASON = re.compile(
    r"^\s*((?:ASSERT FAILED|[\w.]+(?:Error|Exception|Failed)):.*)$", re.MULTILINE
)
MAX_LINE_CHARS = 300


class Check(NamedTuple):
    """A named command; it fails if its exit code isn't 0."""

    name: str
    command: tuple[str, ...]


class Verdict(NamedTuple):
    """The result of a check: counts, the text to print, and the names of its failures."""

    passed: int
    failed: int
    known_red: tuple[str, ...]
    output: str
    failing: tuple[str, ...] = ()


BEHAVE = (PYTHON, "-m", "behave", "--format", "progress", "--no-color")
# Folders whose scenarios mostly wait for real nodes: each of their files is a check of its own, as
# one check of them all would take longer than all other checks together.
SPLIT_FOLDERS = ("platform",)
# Folders of features that run after the other checks, each alone.
LONE_FOLDERS = ("untrusted",)


def feature_paths() -> list[Path]:
    """Returns the folders and files of features that are a check each, in their order."""
    paths = []
    for path in sorted((ROOT / "features").iterdir()):
        files = sorted(path.glob("*.feature"))
        if path.name in SPLIT_FOLDERS:
            paths += files
        elif files or path.suffix == ".feature":
            paths.append(path)
    return paths


FEATURES = tuple(
    Check(str(path.relative_to(ROOT)), (*BEHAVE, str(path.relative_to(ROOT))))
    for path in feature_paths()
)
LONE_CHECKS = tuple(check for check in FEATURES if Path(check.name).name in LONE_FOLDERS)
SOAK = (PYTHON, "-m", "soak", "--length-s", "10")
# Seeds that broke a promise; each is its own check, so that KNOWN-RED.txt can list it alone.
REGRESSIONS = ROOT / "soak" / "regressions.toml"
CONCURRENT_CHECKS = (
    *(check for check in FEATURES if check not in LONE_CHECKS),
    Check("formatter", (str(BIN / "black"), "--check", "--quiet", ".")),
    Check("linter", (str(BIN / "ruff"), "check", "--quiet", ".")),
    Check("types", (str(BIN / "mypy"),)),
    Check("generated code", (PYTHON, "tools/generate.py", "--check")),
    Check("reference page", (PYTHON, "-m", "tools.reference", "--check")),
    Check("control benches", (PYTHON, "-m", "benchmarks.control", "--small")),
    Check("capacity page", (PYTHON, "-m", "tools.check_capacity")),
    Check("model checking", (PYTHON, "tools/check_model.py")),
    Check("chaos", (PYTHON, "-m", "benchmarks.chaos", "--seeds", "200")),
    # The third seed has requests that crash servers.
    Check("soak", (*SOAK, "--seeds", "3")),
    Check("odd inputs", (PYTHON, "-m", "soak.odd", "--seeds", "2", "--steps", "10")),
    Check("batch benches", (PYTHON, "-m", "benchmarks.batch")),
    Check("placement benches", (PYTHON, "-m", "benchmarks.placement")),
    Check("policy benches", (PYTHON, "-m", "benchmarks")),
    Check("routing benches", (PYTHON, "-m", "benchmarks.routing")),
    *(
        Check(
            f"soak seed {case['seed']}", (*SOAK, "--seeds", "1", "--first-seed", str(case["seed"]))
        )
        for case in tomllib.loads(REGRESSIONS.read_text()).get("case", ())
    ),
)


def run_checks(known_names: list[str]) -> Iterator[tuple[Check, Verdict]]:
    """Runs all checks, the lone ones last, and yields their results in order."""
    with ThreadPoolExecutor(MAX_CONCURRENT_CHECKS) as pool:
        verdicts = pool.map(lambda check: run_check(check, known_names), CONCURRENT_CHECKS)
        yield from zip(CONCURRENT_CHECKS, verdicts, strict=True)
    for check in LONE_CHECKS:
        yield check, run_check(check, known_names)


def known_red() -> list[str]:
    """Returns the name of the check or scenario in each entry of KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.split("|")[0].strip() for line in lines if line and not line.startswith("#")]


def run_check(check: Check, known_names: list[str]) -> Verdict:
    """Runs one check and returns its result."""
    result = subprocess.run(
        check.command, cwd=ROOT, capture_output=True, text=True, env=ENVIRONMENT
    )
    output = result.stdout + result.stderr
    if check in FEATURES:
        return count_scenarios(result.returncode, output, known_names)
    if result.returncode == 0:
        known_failing = tuple(KNOWN_RED_LINE.findall(output))
        return Verdict(1, 0, known_failing, "\n".join(result.stdout.strip().splitlines()[-1:]))
    if check.name in known_names:
        return Verdict(0, 0, (check.name,), output)
    return Verdict(0, 1, (), output, (last_line(output),))


def last_line(output: str) -> str:
    """Returns the last line of a check's output, cut to `MAX_LINE_CHARS`."""
    return "".join(output.strip().splitlines()[-1:])[:MAX_LINE_CHARS]


def count_scenarios(exit_code: int, output: str, known_names: list[str]) -> Verdict:
    """Counts scenarios; known failures don't count as failed."""
    counts = SCENARIO_COUNTS.search(output)
    if counts is None:
        return Verdict(0, 1, (), output, (f"no counts: {last_line(output)}",))
    passed, failed, errors, skipped = (int(count or 0) for count in counts.groups())
    failing = [name.strip() for name in FAILING_SCENARIO.findall(output)]
    known_failing = tuple(name for name in failing if name in known_names)
    unexpected_count = max(failed + errors - len(known_failing), 0) + skipped
    if exit_code != 0 and not failing:
        unexpected_count = max(unexpected_count, 1)
    if not unexpected_count:
        return Verdict(passed, 0, known_failing, f"{passed} scenarios passed")
    names = [name for name in failing if name not in known_names]
    reasons = [line[:MAX_LINE_CHARS] for line in FAILURE_REASON.findall(output)]
    return Verdict(passed, unexpected_count, known_failing, output, (*names, *reasons))


def main() -> None:
    """Runs all checks; exits 1 if one failed that KNOWN-RED.txt doesn't list."""
    known_names = known_red()
    passed = failed = 0
    still_red: list[str] = []
    failing: list[str] = []
    for check, verdict in run_checks(known_names):
        status = "failed" if verdict.failed else "done"
        print(f"check: {check.name}: {status}. {verdict.output}", flush=True)
        passed += verdict.passed
        failed += verdict.failed
        still_red += verdict.known_red
        failing += [f"{check.name}: {text}" for text in verdict.failing]
    for name in still_red:
        print(f"known red: {name}")
    for name in sorted(set(known_names) - set(still_red)):
        status = "not run here" if NOT_IN_CI in name else "but passed"
        print(f"known red, {status}: {name}")
    for name in failing:
        print(f"failed: {name}")
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
