"""Entries of another writer among the engines' entries: do the nodes pass over them?"""

from pathlib import Path

from common.deployment import Deployment, run_case
from common.foreign import play_all, sound_entry

CASE = Path(__file__).resolve().parent
# Bytes that are no text in any encoding of Unicode, as a JSON text holds them.
UNREADABLE = "\udc80\udcff\udcfe"


async def main(deployment: Deployment) -> bool:
    """Plays the case; returns whether Fault was broken."""
    sound = sound_entry()
    entries = {
        "fields missing": {"service": sound["service"], "state": "ready"},
        "fields of another type": sound | {"address": 5, "slots": "6"},
        "a state that isn't named": sound | {"state": "resting"},
        "a service that isn't named": sound | {"service": "someone-else"},
        "bytes that can't be read, as the service": sound | {"service": UNREADABLE},
    }
    return await play_all(deployment, entries)


run_case(CASE, main)
