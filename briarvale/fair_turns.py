"""Lets other tasks run while one works off bytes that have arrived already."""

import anyio.lowlevel

STEPS_PER_TURN = 100

__all__ = ["STEPS_PER_TURN", "FairTurns"]


class FairTurns:
    """Counts the steps of a task that may take many without waiting for anything."""

    def __init__(self) -> None:
        self._steps = 0

    async def take_step(self) -> None:
        """Counts a step; after `STEPS_PER_TURN` of them other tasks have their turn."""
        self._steps += 1
        if self._steps % STEPS_PER_TURN == 0:
            await anyio.lowlevel.checkpoint()
