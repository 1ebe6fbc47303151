"""Writes docs/operators/reference.md from the schema, the errors, the metrics and the command line.

Run as `python -m tools.reference`, or with `--check` to compare with what is committed.
"""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import typer.main
import yaml
from aioprometheus.collectors import Collector
from typer.core import TyperGroup

from briarvale import errors, metrics
from briarvale.programs import cli

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "operators" / "reference.md"
SCHEMA = ROOT / "briarvale" / "schema"
INTRODUCTION = """# Reference

Written by `tools/reference.py` from the schema, the errors, the metrics and the command line.
"""


def markdown_table(header: tuple[str, ...], rows: Iterator[tuple[str, ...]]) -> list[str]:
    """Returns the lines of a Markdown table, with an empty line at the end."""
    lines = [f"| {' | '.join(header)} |", "|" + "---|" * len(header)]
    return [*lines, *(f"| {' | '.join(row)} |" for row in rows), ""]


def field_rows(node: dict[str, Any], prefix: str = "") -> Iterator[tuple[str, ...]]:
    """Yields a row for each field of a schema node."""
    for name, spec in node["properties"].items():
        default = "required" if name in node["required"] else f"`{spec.get('default', '')}`"
        yield f"`{prefix}{name}`", default, spec.get("description", "")


def schema_section(title: str, name: str) -> list[str]:
    """Returns the section of one schema file."""
    schema = yaml.safe_load((SCHEMA / f"{name}.schema.yaml").read_text())
    rows = list(field_rows(schema))
    for definition, node in schema.get("$defs", {}).items():
        rows += field_rows(node, f"{definition}.")
    return [f"## {title}", "", *markdown_table(("field", "default", "meaning"), iter(rows))]


def error_rows() -> Iterator[tuple[str, ...]]:
    """Yields a row for each error code."""
    kinds = [kind for kind in vars(errors).values() if isinstance(kind, type)]
    for kind in kinds:
        if issubclass(kind, errors.BriarvaleError):
            summary = (kind.__doc__ or "").splitlines()[0]
            not_run = "yes" if kind.not_run else "no"
            yield f"`{kind.code}`", str(kind.http_status), not_run, summary


def metric_rows() -> Iterator[tuple[str, ...]]:
    """Yields a row for each metric."""
    for collector in vars(metrics).values():
        if isinstance(collector, Collector):
            yield f"`{collector.name}`", type(collector).__name__.lower(), collector.doc


def verb_rows(command: Any, path: str) -> Iterator[tuple[str, ...]]:
    """Yields a row for each verb of the command line."""
    if isinstance(command, TyperGroup):
        for name, child in sorted(command.commands.items()):
            yield from verb_rows(child, f"{path} {name}")
        return
    summary = (command.help or "").strip().splitlines()[0]
    yield f"`{path}`", summary


def reference_page() -> str:
    """Returns the page's text."""
    lines = [INTRODUCTION]
    lines += schema_section("Settings of a VM", "settings")
    lines += schema_section("Inventory", "inventory")
    lines += schema_section("Rules", "rules")
    header = ("code", "status", "`not_run`", "meaning")
    lines += ["## Error codes", "", "`not_run` is `no` where bytes were sent, whatever the code."]
    lines += ["", *markdown_table(header, error_rows())]
    lines += ["## Metrics", "", *markdown_table(("metric", "kind", "meaning"), metric_rows())]
    verbs = verb_rows(typer.main.get_command(cli.app), "briarvale")
    lines += ["## Command line", "", *markdown_table(("verb", "meaning"), verbs)]
    return "\n".join(lines).rstrip() + "\n"


def main() -> None:
    """Writes the page, or with --check exits 1 if it is not current."""
    text = reference_page()
    if "--check" in sys.argv:
        is_current = PAGE.exists() and PAGE.read_text() == text
        print("reference is current" if is_current else "stale: run make reference")
        sys.exit(not is_current)
    PAGE.write_text(text)


if __name__ == "__main__":
    main()
