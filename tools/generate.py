"""Generates `briarvale/_generated` from the schema folder.

Run as `python tools/generate.py`, or with `--check` to compare with what is committed.
"""

import re
import subprocess
import sys
from pathlib import Path

import capnp
import yaml

ROOT = Path(__file__).resolve().parent.parent
SCHEMA = ROOT / "briarvale" / "schema"
OUTPUT = ROOT / "briarvale" / "_generated"
HEADER = '"""Generated from schema/{name} by tools/generate.py. Do not edit."""\n\n'
SCALARS = {
    "string": "str",
    "integer": "int",
    "number": "float",
    "boolean": "bool",
}
CAPNP_SCALARS = {
    "text": ("str", '""'),
    "data": ("bytes", 'b""'),
    "bool": ("bool", "False"),
    "float64": ("float", "0.0"),
} | {f"{sign}int{bits}": ("int", "0") for sign in ("u", "") for bits in (8, 16, 32, 64)}


def snake(name: str) -> str:
    """Turns camelCase into snake_case."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()


def pascal(name: str) -> str:
    """Turns camelCase into PascalCase."""
    return name[0].upper() + name[1:]


def settings_module(schema: dict, name: str) -> str:
    """Returns the source of NamedTuples with `from_mapping` for one settings schema."""
    lines = [HEADER.format(name=name), "from collections.abc import Mapping"]
    lines.append("from typing import Any, NamedTuple\n\n")
    for title, node in [*schema.get("$defs", {}).items(), (schema["title"], schema)]:
        lines.append(settings_class(title, node))
    return "\n".join(lines)


def settings_class(title: str, node: dict) -> str:
    """Returns the source of one NamedTuple; required fields come first."""
    required = [name for name in node["properties"] if name in node["required"]]
    optional = [name for name in node["properties"] if name not in node["required"]]
    lines = [f"class {title}(NamedTuple):", f'    """{node["description"]}"""', ""]
    for name in required + optional:
        spec = node["properties"][name]
        default = "" if name in required else f" = {default_literal(spec)}"
        lines.append(f"    {name}: {python_type(spec)}{default}")
    lines += ["", "    @classmethod"]
    lines.append(f'    def from_mapping(cls, mapping: Mapping[str, Any]) -> "{title}":')
    lines.append('        """Builds it from a checked mapping."""')
    lines.append("        return cls(")
    for name in required + optional:
        spec = node["properties"][name]
        lookup = f'mapping["{name}"]'
        if name not in required:
            lookup = f'mapping.get("{name}", {default_literal(spec)})'
        lines.append(f"            {name}={conversion(spec, lookup)},")
    lines += ["        )", "", ""]
    return "\n".join(lines)


def python_type(spec: dict) -> str:
    """Returns the Python type of a property."""
    if "$ref" in spec:
        return spec["$ref"].rsplit("/", 1)[1]
    if spec["type"] == "array":
        return f"tuple[{python_type(spec['items'])}, ...]"
    return SCALARS[spec["type"]]


def default_literal(spec: dict) -> str:
    """Returns the literal of an optional property's default."""
    default = spec["default"]
    if isinstance(default, list):
        return repr(tuple(default))
    if spec["type"] == "number":
        return repr(float(default))
    return repr(default)


def conversion(spec: dict, lookup: str) -> str:
    """Returns the expression that converts a mapping's value to the field's type."""
    if spec["type"] == "array":
        item = spec["items"]
        if "$ref" in item:
            return f"tuple({python_type(item)}.from_mapping(item) for item in {lookup})"
        return f"tuple({lookup})"
    if spec["type"] == "number":
        return f"float({lookup})"
    return lookup


def messages_module() -> str:
    """Returns the source of NamedTuples, enums and codecs for the peer messages."""
    module = capnp.load(str(SCHEMA / "messages.capnp"))
    enums, structs = {}, {}
    for name in re.findall(r"^(?:enum) (\w+)", (SCHEMA / "messages.capnp").read_text(), re.M):
        enums[name] = list(getattr(module, name).schema.enumerants)
    for name in re.findall(r"^(?:struct) (\w+)", (SCHEMA / "messages.capnp").read_text(), re.M):
        if name != "Envelope":
            structs[name] = getattr(module, name).schema.node.struct.fields
    union = list(module.Envelope.schema.union_fields)
    lines = [HEADER.format(name="messages.capnp")]
    lines += ["from enum import StrEnum", "from pathlib import Path"]
    lines += ["from typing import Any, NamedTuple", "", "import capnp", ""]
    lines += ["capnp.remove_import_hook()", ""]
    lines.append('_SCHEMA_PATH = Path(__file__).parent.parent / "schema" / "messages.capnp"')
    lines += [
        "_module = capnp.load(str(_SCHEMA_PATH))",
        "_new_envelope = _module.Envelope.new_message",
    ]
    lines += ["_from_bytes = _module.Envelope.from_bytes"]
    lines += [
        "# A list may claim any number of empty elements; reading it must cost what the bytes do."
    ]
    lines += ["MIN_TRAVERSED_WORDS, BYTES_PER_TRAVERSED_WORD = 1_024, 4"]
    lines += ["DECODING_ERRORS = (capnp.KjException, KeyError, RuntimeError, ValueError)", "", ""]
    for name, values in enums.items():
        lines += [f"class {name}(StrEnum):", f'    """Values of {name}."""', ""]
        lines += [f'    {snake(value).upper()} = "{value}"' for value in values] + ["", ""]
    for name, fields in structs.items():
        lines += message_class(name, fields, module)
    lines += [f"Message = {' | '.join(pascal(name) for name in union)}", "", ""]
    for name, fields in structs.items():
        lines += message_codec(name, fields, module)
    lines += envelope_codec(union)
    return "\n".join(lines)


def field_type(field: object, module: object) -> tuple[str, str, str]:
    """Returns the Python type, its default and the kind of a Cap'n Proto field."""
    slot = field.slot.type
    kind = slot.which()
    if kind in CAPNP_SCALARS:
        return (*CAPNP_SCALARS[kind], "scalar")
    if kind == "list":
        element = slot.list.elementType
        if element.which() == "struct":
            return f"tuple[{type_name(element.struct.typeId, module)}, ...]", "()", "list"
        return f"tuple[{CAPNP_SCALARS[element.which()][0]}, ...]", "()", "scalars"
    name = type_name(slot.enum.typeId, module)
    first = next(iter(getattr(module, name).schema.enumerants))
    return name, f"{name}.{snake(first).upper()}", "enum"


def type_name(type_id: int, module: object) -> str:
    """Finds the name of a type of this schema by its id."""
    for name in dir(module):
        node = getattr(getattr(getattr(module, name), "schema", None), "node", None)
        if node is not None and node.id == type_id:
            return name
    raise LookupError(type_id)


def message_class(name: str, fields: list, module: object) -> list[str]:
    """Returns the source lines of one message's NamedTuple."""
    lines = [f"class {name}(NamedTuple):", f'    """The peer message {name}."""', ""]
    for field in fields:
        annotation, default, _ = field_type(field, module)
        lines.append(f"    {snake(field.name)}: {annotation} = {default}")
    return [*lines, "", ""]


def message_codec(name: str, fields: list, module: object) -> list[str]:
    """Returns the source lines of one message's reader and writer."""
    lines = [f"def _read_{snake(name)}(reader: Any) -> {name}:", f"    return {name}("]
    for field in fields:
        annotation, _, kind = field_type(field, module)
        value = f"reader.{field.name}"
        if kind == "enum":
            value = f"{annotation}(str({value}))"
        elif kind == "list":
            item = annotation[len("tuple[") : -len(", ...]")]
            value = f"tuple(_read_{snake(item)}(item) for item in {value})"
        elif kind == "scalars":
            value = f"tuple({value})"
        lines.append(f"        {value},")
    lines += ["    )", "", "", f"def _write_{snake(name)}(builder: Any, message: {name}) -> None:"]
    for field in fields:
        annotation, _, kind = field_type(field, module)
        attribute = f"message.{snake(field.name)}"
        if kind == "enum":
            lines.append(f"    builder.{field.name} = {attribute}.value")
        elif kind == "list":
            item = annotation[len("tuple[") : -len(", ...]")]
            lines.append(
                f'    {snake(field.name)} = builder.init("{field.name}", len({attribute}))'
            )
            lines.append(f"    for index, {snake(item)} in enumerate({attribute}):")
            lines.append(f"        _write_{snake(item)}({snake(field.name)}[index], {snake(item)})")
        elif kind == "scalars":
            lines.append(f"    builder.{field.name} = list({attribute})")
        else:
            lines.append(f"    builder.{field.name} = {attribute}")
    return [*lines, "", ""]


def envelope_codec(union: list[str]) -> list[str]:
    """Returns the source lines of `encode_message` and `decode_message`."""
    lines = ["_WRITERS: dict[type, tuple[str, Any]] = {"]
    lines += [f'    {pascal(name)}: ("{name}", _write_{snake(name)}),' for name in union]
    lines += ["}", "_READERS: dict[str, Any] = {"]
    lines += [f'    "{name}": _read_{snake(name)},' for name in union]
    lines += ["}", "", "", "def encode_message(message: Message) -> bytes:"]
    lines += ['    """Encodes a message in its envelope."""', "    envelope = _new_envelope()"]
    lines += [
        "    field, write = _WRITERS[type(message)]",
        "    write(envelope.init(field), message)",
    ]
    lines += ["    data: bytes = envelope.to_bytes()", "    return data", "", ""]
    lines += ["def decode_message(data: bytes) -> Message:"]
    lines += ['    """Decodes an envelope; see `DECODING_ERRORS` for what bad input raises."""']
    lines += ["    limit = MIN_TRAVERSED_WORDS + len(data) // BYTES_PER_TRAVERSED_WORD"]
    lines += ["    with _from_bytes(data, traversal_limit_in_words=limit) as envelope:"]
    lines += ["        field = envelope.which()"]
    lines += ["        message: Message = _READERS[str(field)](getattr(envelope, str(field)))"]
    lines += ["        return message", ""]
    return lines


def format_source(source: str) -> str:
    """Formats a module as the repository's formatter does."""
    command = [sys.executable, "-m", "black", "-q", "-l", "100", "-"]
    return subprocess.run(command, input=source, capture_output=True, text=True, check=True).stdout


def generate() -> dict[Path, str]:
    """Returns each generated file's text."""
    files = {OUTPUT / "messages.py": messages_module()}
    for path in sorted(SCHEMA.glob("*.schema.yaml")):
        name = path.name.removesuffix(".schema.yaml")
        files[OUTPUT / f"{name}.py"] = settings_module(yaml.safe_load(path.read_text()), path.name)
    files[OUTPUT / "__init__.py"] = '"""Code generated from the schema folder."""\n'
    return {path: format_source(source) for path, source in files.items()}


def main() -> None:
    """Writes the files, or with --check exits 1 if one is out of date."""
    files = generate()
    if "--check" in sys.argv:
        stale = [p.name for p, text in files.items() if not p.exists() or p.read_text() != text]
        print(
            "stale generated files: " + ", ".join(stale) if stale else "generated code is current"
        )
        sys.exit(bool(stale))
    for path, text in files.items():
        path.write_text(text)


if __name__ == "__main__":
    main()
