"""Entries of another writer that are no engine's entry at all: do the nodes pass over them?"""

from pathlib import Path

from common.deployment import Deployment, run_case
from common.foreign import play_all

CASE = Path(__file__).resolve().parent


async def main(deployment: Deployment) -> bool:
    """Plays the case; returns whether Fault was broken."""
    entries = {
        "a text in place of an entry": "someone else's",
        "a list in place of an entry": [1, 2, 3],
        "nothing in place of an entry": None,
        "bytes in base64 in place of an entry": {"base64": "gIH/"},
        "bytes in base64, cut short, in place of an entry": {"base64": "gIH/w"},
    }
    return await play_all(deployment, entries)


run_case(CASE, main)
