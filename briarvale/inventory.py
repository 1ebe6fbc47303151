"""Checks of the inventory that a schema can't express: ids are unique and references exist."""

from collections.abc import Iterator, Sequence

from .checked_yaml import CheckedDocument

INVENTORY_LISTS = ("members", "models", "services", "backend_servers")

__all__ = ["INVENTORY_LISTS", "check_inventory"]


def check_inventory(documents: Sequence[CheckedDocument]) -> list[str]:
    """Returns the problems across an inventory's documents, each with file, line and field.

    Args:
        documents: The parts of the inventory, each valid against the schema.
    """
    problems: list[str] = []
    for name in INVENTORY_LISTS:
        problems += _find_duplicate_ids(documents, name)
    problems += _find_shared_api_keys(documents)
    models = {row["id"] for _, _, row in _rows(documents, "models")}
    services = {row["id"]: row for _, _, row in _rows(documents, "services")}
    for document, index, service in _rows(documents, "services"):
        problems += _check_service(document, index, service, models)
    for document, index, server in _rows(documents, "backend_servers"):
        if server["service"] not in services:
            path = ["backend_servers", index, "service"]
            problems.append(document.problem(path, f"no service {server['service']!r}"))
    return problems


def _rows(documents: Sequence[CheckedDocument], name: str) -> Iterator[tuple]:
    """Yields the rows of a list of the inventory, each with its document and index."""
    for document in documents:
        for index, row in enumerate(document.data[name]):
            yield document, index, row


def _find_duplicate_ids(documents: Sequence[CheckedDocument], name: str) -> list[str]:
    seen: set[str] = set()
    problems = []
    for document, index, row in _rows(documents, name):
        if row["id"] in seen:
            problems.append(
                document.problem([name, index, "id"], f"{row['id']!r} is a duplicate id")
            )
        seen.add(row["id"])
    return problems


def _find_shared_api_keys(documents: Sequence[CheckedDocument]) -> list[str]:
    member_by_digest: dict[str, str] = {}
    problems = []
    for document, index, member in _rows(documents, "members"):
        for key_index, digest in enumerate(member["api_key_sha256"]):
            first_member = member_by_digest.setdefault(digest, member["id"])
            if first_member != member["id"]:
                path = ["members", index, "api_key_sha256", key_index]
                problems.append(document.problem(path, f"is a key of {first_member!r} already"))
    return problems


def _check_service(
    document: CheckedDocument, index: int, service: dict, models: set[str]
) -> list[str]:
    model = service.get("model", "")
    if service["kind"] == "plain":
        return []
    if not model:
        return [document.problem(["services", index], "a service of kind model needs a model")]
    if model not in models:
        return [document.problem(["services", index, "model"], f"no model {model!r}")]
    return []
