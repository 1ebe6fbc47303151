"""YAML documents checked against a schema; errors name file, line and field."""

from functools import cache
from pathlib import Path
from typing import Any

import yaml
from jsonschema import Draft202012Validator, FormatChecker
from jsonschema.exceptions import ValidationError
from yaml.constructor import SafeConstructor

from .errors import SettingsInvalid

_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
SCHEMA_FOLDER = Path(__file__).parent / "schema"

__all__ = ["load_checked", "parse_checked", "line_of"]


def load_checked(path: Path, schema_name: str) -> dict[str, Any]:
    """Reads and checks a file.

    Raises:
        SettingsInvalid: If it can't be read, isn't YAML or breaks the schema.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalid(f"{path}: can't be read: {error}") from error
    return parse_checked(text, schema_name, str(path))


def parse_checked(text: str, schema_name: str, source: str) -> dict[str, Any]:
    """Parses and checks a document; `source` names it in errors."""
    try:
        node = yaml.compose(text, Loader=_Loader)
        document = _construct(node)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        raise SettingsInvalid(f"{source}:{line}: not YAML: {error.problem}") from error
    except yaml.YAMLError as error:
        raise SettingsInvalid(f"{source}:1: not YAML: {error}") from error
    problems = sorted(_validator(schema_name).iter_errors(document), key=lambda e: list(e.path))
    if problems:
        raise SettingsInvalid("\n".join(_describe(source, node, error) for error in problems))
    checked: dict[str, Any] = document
    return checked


def _construct(node: yaml.Node | None) -> Any:
    return None if node is None else SafeConstructor().construct_document(node)


def line_of(node: yaml.Node | None, path: list[str | int]) -> int:
    """Returns the line, counted from 1, where the field at `path` stands."""
    line = 1
    for step in path:
        child = _child(node, step)
        if child is None:
            return line
        key, node = child
        line = key.start_mark.line + 1
    return line


def _child(node: yaml.Node | None, step: str | int) -> tuple[yaml.Node, yaml.Node] | None:
    match node:
        case yaml.MappingNode():
            return next(((key, value) for key, value in node.value if key.value == step), None)
        case yaml.SequenceNode() if isinstance(step, int) and step < len(node.value):
            return node.value[step], node.value[step]
        case _:
            return None


@cache
def _validator(schema_name: str) -> Draft202012Validator:
    schema = yaml.safe_load((SCHEMA_FOLDER / f"{schema_name}.schema.yaml").read_text())
    return Draft202012Validator(schema, format_checker=FormatChecker())


def _describe(source: str, node: yaml.Node | None, error: ValidationError) -> str:
    path = list(error.absolute_path)
    field = ".".join(str(step) for step in path) or "document"
    return f"{source}:{line_of(node, path)}: {field}: {_expected(error)}"


def _expected(error: ValidationError) -> str:
    match error.validator:
        case "type":
            return f"expected {error.validator_value}, found {error.instance!r}"
        case "enum":
            allowed: Any = error.validator_value
            options = ", ".join(str(value) for value in allowed)
            return f"expected one of {options}, found {error.instance!r}"
        case _:
            return error.message
