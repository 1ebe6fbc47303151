"""Unix timestamps derived from anyio's clock, so that they follow virtual time in tests."""

import time
from typing import NamedTuple

import anyio

MS_PER_S = 1_000
# Far more than any wait; deadlines that many milliseconds ahead still fit into messages.
MAX_WAIT_MS = 366 * 86_400 * MS_PER_S


class Clock(NamedTuple):
    """Maps anyio's monotonic seconds to Unix milliseconds.

    Adjustments of the system clock after the start have no effect.
    """

    offset_ms: float

    @classmethod
    def from_system(cls) -> "Clock":
        """Returns a clock aligned with the system clock; call it inside an event loop."""
        return cls(time.time() * MS_PER_S - anyio.current_time() * MS_PER_S)

    def now_ms(self) -> int:
        """Returns the current Unix time in milliseconds."""
        return int(self.offset_ms + anyio.current_time() * MS_PER_S)

    async def sleep_until(self, deadline_ms: float) -> None:
        """Sleeps until the deadline; returns at once if it has passed."""
        await anyio.sleep(max(0.0, (deadline_ms - self.now_ms()) / MS_PER_S))
