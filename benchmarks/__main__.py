"""`python -m benchmarks`: policy benchmarks in virtual time, each checked against a bound.

The last line reads `N passed, N failed`; the exit code is 1 if a bound is broken.
"""

import os
import sys

from rich.console import Console

HASH_SEED = "0"
TABLE_WIDTH = 120


def main() -> None:
    """Runs all policy benchmarks with a fixed hash seed, so that runs are reproducible."""
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        environment = os.environ | {"PYTHONHASHSEED": HASH_SEED}
        os.execve(sys.executable, [sys.executable, "-m", "benchmarks"], environment)
    from .online_table import online_rows
    from .verdicts import known_red

    console = Console(width=TABLE_WIDTH)
    rows = online_rows(console)
    passed = sum(row.is_met is True for row in rows)
    failing = {row.measure for row in rows if row.is_met is False}
    for measure in sorted(failing & known_red()):
        print(f"known red: {measure}")
    failed = len(failing - known_red())
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
