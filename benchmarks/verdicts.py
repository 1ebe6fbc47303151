"""Rows of a benchmark's table: a measured figure, its bound and the verdict."""

from typing import NamedTuple

from rich.console import Console
from rich.table import Table

__all__ = ["Row", "print_rows"]


class Row(NamedTuple):
    """One measure; `is_met` is none where it has no bound."""

    measure: str
    measured: str
    bound: str = ""
    is_met: bool | None = None

    @classmethod
    def at_most(cls, measure: str, value: float, bound: float, unit: str = "") -> "Row":
        """Builds a row that is met up to the bound."""
        return cls(measure, f"{value:.3g}{unit}", f"<= {bound:g}{unit}", value <= bound)

    @classmethod
    def at_least(cls, measure: str, value: float, bound: float, unit: str = "") -> "Row":
        """Builds a row that is met from the bound on."""
        return cls(measure, f"{value:.3g}{unit}", f">= {bound:g}{unit}", value >= bound)


def print_rows(title: str, rows: list[Row], console: Console) -> None:
    """Prints the rows as a table."""
    table = Table(title=title, title_justify="left")
    for heading in ("measure", "measured", "bound", "verdict"):
        table.add_column(heading)
    verdicts = {True: "passed", False: "FAILED", None: ""}
    for row in rows:
        table.add_row(row.measure, row.measured, row.bound, verdicts[row.is_met])
    console.print(table)
