"""Wall-clock instants that follow anyio's clock, so that virtual time moves them too."""

import time
from typing import NamedTuple

import anyio

MS_PER_S = 1_000


class Clock(NamedTuple):
    """Maps anyio's monotonic seconds to Unix milliseconds.

    Steps of the system's clock after the start have no effect.
    """

    offset_ms: float

    @classmethod
    def from_system(cls) -> "Clock":
        """Aligns with the system's clock; call inside an event loop."""
        return cls(time.time() * MS_PER_S - anyio.current_time() * MS_PER_S)

    def now_ms(self) -> int:
        """Returns the current Unix time in milliseconds."""
        return int(self.offset_ms + anyio.current_time() * MS_PER_S)

    async def sleep_until(self, instant_ms: float) -> None:
        """Sleeps until the instant; returns at once if it has passed."""
        await anyio.sleep(max(0.0, (instant_ms - self.now_ms()) / MS_PER_S))
