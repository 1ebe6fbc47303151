"""Validates YAML documents against a JSON schema; errors name file, line and field."""

from collections.abc import Iterator, Mapping, Sequence
from functools import cache
from pathlib import Path
from typing import Any, NamedTuple

import yaml
from jsonschema import Draft202012Validator, FormatChecker
from jsonschema.exceptions import ValidationError
from yaml.constructor import SafeConstructor

from .errors import SettingsInvalid

_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
SCHEMA_FOLDER = Path(__file__).parent / "schema"

__all__ = ["CheckedDocument", "line_of", "load_checked", "parse_checked", "parse_document"]


class CheckedDocument(NamedTuple):
    """A validated document with its YAML nodes, which provide the line numbers."""

    source: str
    data: dict[str, Any]
    node: yaml.Node | None

    def problem(self, path: Sequence[str | int], message: str) -> str:
        """Returns one line of an error message: file, line, field and message."""
        field = ".".join(str(step) for step in path)
        return f"{self.source}:{line_of(self.node, path)}: {field}: {message}"


def load_checked(path: Path, schema_name: str) -> dict[str, Any]:
    """Reads and validates a file.

    Raises:
        SettingsInvalid: If the file can't be read, isn't YAML or violates the schema.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalid(f"{path}: can't be read: {error}") from error
    return parse_checked(text, schema_name, str(path))


def parse_checked(text: str, schema_name: str, source: str) -> dict[str, Any]:
    """Parses and validates a document; `source` names it in errors."""
    return parse_document(text, schema_name, source).data


def parse_document(
    text: str, schema_name: str, source: str, defaults: Mapping[str, Any] | None = None
) -> CheckedDocument:
    """Parses and validates a document, and keeps its YAML nodes for later error messages.

    Args:
        text: The YAML text.
        schema_name: Name of the schema file, without `.schema.yaml`.
        source: Names the document in errors.
        defaults: Values of top-level fields that the document omits.

    Raises:
        SettingsInvalid: If the text isn't YAML or violates the schema; names each invalid field.
    """
    try:
        node = yaml.compose(text, Loader=_Loader)
        _check_keys(node, source)
        data = _construct(node)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        raise SettingsInvalid(f"{source}:{line}: not YAML: {error.problem}") from error
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise SettingsInvalid(f"{source}:1: not YAML: {error}") from error
    if isinstance(data, dict):
        data = {**(defaults or {}), **data}
    problems = sorted(_validator(schema_name).iter_errors(data), key=_path_of)
    if problems:
        raise SettingsInvalid("\n".join(_describe(source, node, error) for error in problems))
    return CheckedDocument(source, data, node)


def _path_of(error: ValidationError) -> list[str]:
    """Returns the path of the invalid field, padded so that list indexes sort as numbers."""
    return [str(step).rjust(8) for step in error.path]


def _check_keys(node: yaml.Node | None, source: str) -> None:
    """Checks that the keys of each mapping are unique strings, which a schema can't express."""
    seen: set[int] = set()
    pending = [node]
    while pending:
        current = pending.pop()
        if current is None or id(current) in seen:
            continue
        seen.add(id(current))
        match current:
            case yaml.MappingNode():
                _check_mapping_keys(current, source)
                pending += [value for _, value in current.value]
            case yaml.SequenceNode():
                pending += current.value


def _check_mapping_keys(node: yaml.MappingNode, source: str) -> None:
    seen_keys: set[str] = set()
    for key, _ in node.value:
        line = key.start_mark.line + 1
        if key.tag != "tag:yaml.org,2002:str":
            raise SettingsInvalid(f"{source}:{line}: document: expected a string as key")
        if key.value in seen_keys:
            raise SettingsInvalid(f"{source}:{line}: {key.value}: duplicate key")
        seen_keys.add(key.value)


def _construct(node: yaml.Node | None) -> Any:
    return None if node is None else SafeConstructor().construct_document(node)


def line_of(node: yaml.Node | None, path: Sequence[str | int]) -> int:
    """Returns the line, counted from 1, of the field at `path`, or of its nearest parent."""
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
    if error.validator == "additionalProperties":
        return "\n".join(_describe_unknown(source, node, path, error))
    field = ".".join(str(step) for step in path) or "document"
    return f"{source}:{line_of(node, path)}: {field}: {_expected(error)}"


def _describe_unknown(
    source: str, node: yaml.Node | None, path: list[str | int], error: ValidationError
) -> Iterator[str]:
    schema: Any = error.schema
    mapping: Any = error.instance
    for name in sorted(mapping.keys() - schema["properties"].keys()):
        field = ".".join(str(step) for step in (*path, name))
        yield f"{source}:{line_of(node, [*path, name])}: {field}: unknown field"


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
