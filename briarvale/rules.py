"""Checks of the rules against the inventory that they stand on."""

from collections.abc import Collection

from .checked_yaml import CheckedDocument

FULL_PERCENT = 100
ROUNDING_PERCENT = 1e-6

__all__ = ["check_rules"]


def check_rules(document: CheckedDocument, members: Collection[str]) -> list[str]:
    """Returns what is wrong with the rules, each with file, line and field.

    Args:
        document: The rules, in the form of the schema.
        members: Ids of the inventory's members.
    """
    problems = []
    seen: set[str] = set()
    total = 0.0
    for index, share in enumerate(document.data["shares"]):
        path: list[str | int] = ["shares", index, "member"]
        if share["member"] not in members:
            problems.append(document.problem(path, f"no member {share['member']!r}"))
        if share["member"] in seen:
            problems.append(document.problem(path, f"{share['member']!r} has a share already"))
        seen.add(share["member"])
        total += share["percent"]
        if total - share["percent"] <= FULL_PERCENT + ROUNDING_PERCENT < total:
            path = ["shares", index, "percent"]
            problems.append(document.problem(path, f"the shares add up to over {FULL_PERCENT} %"))
    priority_member = document.data.get("priority_member", "")
    if priority_member and priority_member not in members:
        path = ["priority_member"]
        problems.append(document.problem(path, f"no member {priority_member!r}"))
    return problems
