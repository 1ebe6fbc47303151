"""Checks of the rules that a schema can't express, such as references to members."""

from collections.abc import Collection

from .checked_yaml import CheckedDocument

MAX_TOTAL_PERCENT = 100
ROUNDING_TOLERANCE_PERCENT = 1e-6

__all__ = ["check_rules"]


def check_rules(document: CheckedDocument, members: Collection[str]) -> list[str]:
    """Returns the problems in the rules, each with file, line and field.

    Args:
        document: The rules, valid against the schema.
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
        if total - share["percent"] <= MAX_TOTAL_PERCENT + ROUNDING_TOLERANCE_PERCENT < total:
            path = ["shares", index, "percent"]
            problems.append(
                document.problem(path, f"the shares add up to over {MAX_TOTAL_PERCENT} %")
            )
    priority_member = document.data.get("priority_member", "")
    if priority_member and priority_member not in members:
        path = ["priority_member"]
        problems.append(document.problem(path, f"no member {priority_member!r}"))
    return problems
