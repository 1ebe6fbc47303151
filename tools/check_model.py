"""`make check-model`: checks the specifications in specs/ with spin, broken variants included.

A specification must hold, and each of its broken variants must be rejected, which shows that the
check can fail. Checkers are built in a temporary folder. The last line reads
`N passed, N failed`.
"""

import re
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
SPECS = ROOT / "specs"
MAX_DEPTH = 1_000_000
MEMORY_MB = 2_048
TIMEOUT_S = 300
STATES = re.compile(r"^\s*([\d.e+]+) states, stored", re.MULTILINE)
ERRORS = re.compile(r"errors: (\d+)")
VIOLATION = re.compile(r"^pan:\d+: (.*?)(?: \(at depth \d+\))?$", re.MULTILINE)


class Variant(NamedTuple):
    """One specification, as written or with a macro that breaks it."""

    spec: str
    macro: str = ""

    @property
    def title(self) -> str:
        """The name in the output."""
        return f"{self.spec} with {self.macro}" if self.macro else self.spec


class Verdict(NamedTuple):
    """The result of a search."""

    errors: int
    states: int
    violation: str
    is_complete: bool


VARIANTS = (
    Variant("claims"),
    Variant("claims", "NO_CONDITIONAL_CREATE"),
    Variant("claims", "SEND_BEFORE_CLAIM"),
    Variant("claims", "NONCE_IGNORED"),
    Variant("claims", "NO_RELEASE"),
    Variant("shard_log"),
    Variant("shard_log", "NO_CONDITIONAL_CREATE"),
    Variant("shard_log", "RETRY_OTHER_BYTES"),
    Variant("shard_log", "APPEND_AFTER_SEAL"),
    Variant("shard_log", "NO_SETTLING"),
)


def run_command(command: list[str], folder: Path) -> str:
    """Runs a command in the folder and returns what it printed."""
    result = subprocess.run(
        command, cwd=folder, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
    )
    if result.returncode != 0:
        print(result.stdout + result.stderr)
        sys.exit(f"{command[0]} failed")
    return result.stdout


def check_variant(variant: Variant, folder: Path) -> Verdict:
    """Builds and runs the checker of a variant; the search ends at the first violation."""
    macros = [f"-D{variant.macro}"] if variant.macro else []
    run_command(["spin", *macros, "-a", str(SPECS / f"{variant.spec}.pml")], folder)
    options = ["-DSAFETY", f"-DMEMLIM={MEMORY_MB}"]
    run_command(["gcc", "-O2", "-w", *options, "-o", "pan", "pan.c"], folder)
    output = run_command(["./pan", f"-m{MAX_DEPTH}"], folder)
    errors, states, violation = (
        ERRORS.search(output),
        STATES.search(output),
        VIOLATION.search(output),
    )
    is_complete = "Search not completed" not in output and "max search depth" not in output
    return Verdict(
        errors=int(errors[1]) if errors else 1,
        states=int(float(states[1])) if states else 0,
        violation=violation[1] if violation else "",
        is_complete=errors is not None and is_complete,
    )


def report_verdict(variant: Variant, verdict: Verdict) -> bool:
    """Prints the verdict; returns whether the variant holds, or is rejected if it is broken."""
    if variant.macro:
        is_rejected = verdict.errors > 0 and "assertion violated" in verdict.violation
        found = f"rejected: {verdict.violation}" if is_rejected else "NOT REJECTED"
        print(f"{variant.title}: {found}, {verdict.states:,} states")
        return is_rejected
    holds = verdict.errors == 0 and verdict.is_complete
    found = "holds" if holds else f"FAILS: {verdict.violation or 'search not completed'}"
    print(f"{variant.title}: {found}, {verdict.states:,} states")
    return holds


def main() -> None:
    """Checks all variants; exits 1 if one has the wrong verdict."""
    failed = 0
    for variant in VARIANTS:
        with tempfile.TemporaryDirectory() as folder:
            if not report_verdict(variant, check_variant(variant, Path(folder))):
                failed += 1
    print(f"{len(VARIANTS) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
