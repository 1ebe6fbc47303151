"""`make test`: every check that CI runs, and one verdict.

Each check is a command. KNOWN-RED.txt lists checks and scenarios that fail for a fault not mended
yet; these are printed and passed over. The last line reads `N passed, N failed`.
"""

import re
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
BIN = Path(sys.executable).parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PYTHON = sys.executable
SCENARIOS = re.compile(r"^(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?", re.MULTILINE)
FAILING = re.compile(r"^\s+(features/\S+:\d+)\s+(.*)$", re.MULTILINE)


class Check(NamedTuple):
    """A named command; it fails by its exit code."""

    name: str
    command: tuple[str, ...]


CHECKS = (
    Check("formatter", (str(BIN / "black"), "--check", "--quiet", ".")),
    Check("linter", (str(BIN / "ruff"), "check", "--quiet", ".")),
    Check("types", (str(BIN / "mypy"),)),
    Check("generated code", (PYTHON, "tools/generate.py", "--check")),
    Check("model checking", (PYTHON, "tools/check_model.py")),
)
BEHAVE = (str(BIN / "behave"), "--format", "progress", "--no-color", "features")


def known_red() -> list[str]:
    """Returns the first field of each entry: a check's name or a scenario's."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.split("|")[0].strip() for line in lines if line and not line.startswith("#")]


def run_check(check: Check) -> bool:
    """Runs one check and prints its verdict; its output only where it fails."""
    print(f"check: {check.name} ...", flush=True)
    result = subprocess.run(check.command, cwd=ROOT, capture_output=True, text=True)
    if result.returncode != 0:
        print(result.stdout + result.stderr)
    else:
        last_lines = result.stdout.strip().splitlines()[-1:]
        print(f"check: {check.name} passed. {' '.join(last_lines)}", flush=True)
    return result.returncode == 0


def run_behave(red: list[str]) -> tuple[int, int]:
    """Runs the features; returns scenarios passed and failed, known ones passed over."""
    print("check: features ...", flush=True)
    result = subprocess.run(BEHAVE, cwd=ROOT, capture_output=True, text=True)
    counts = SCENARIOS.search(result.stdout)
    if counts is None:
        print(result.stdout + result.stderr)
        return 0, 1
    passed = int(counts[1])
    failing = [name.strip() for _, name in FAILING.findall(result.stdout)]
    unexpected = [name for name in failing if name not in red]
    if unexpected:
        print(result.stdout + result.stderr)
    for name in sorted(set(failing) & set(red)):
        print(f"known red: {name}")
    failed = int(counts[2]) + int(counts[3] or 0) - (len(failing) - len(unexpected))
    if result.returncode != 0 and not failing:
        failed += 1
    return passed, failed


def main() -> None:
    """Runs all checks; exits 1 if one failed that is not known."""
    red = known_red()
    passed, failed = run_behave(red)
    for check in CHECKS:
        if run_check(check):
            passed += 1
        elif check.name in red:
            print(f"known red: {check.name}")
        else:
            failed += 1
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
