"""What a pool knows of a run: at its start from the slot request, at its end from its holder."""

from typing import NamedTuple

from .._generated.messages import SlotRelease

__all__ = ["RunStart", "RunTimes"]


class RunStart(NamedTuple):
    """What was known when a run was granted its slot.

    Attributes:
        uncached_tokens: Prompt tokens that the server probably had to prefill.
        output_tokens: Expected length of the answer; 0 if unknown.
        running: Runs on the server, this one included; 0 if nothing is known of the start.
        expected_end_ms: When the run should end, by the server's speed; 0 if unknown.
    """

    uncached_tokens: int = 0
    output_tokens: int = 0
    running: int = 0
    expected_end_ms: float = 0.0


class RunTimes(NamedTuple):
    """Times of the events of a run.

    Attributes:
        first_event_ms: Time from sending the request to the first event; 0 if unknown.
        last_event_ms: Time from sending the request to the last event; 0 if unknown.
        event_count: Events of the answer; 0 if it was no stream.
        uncached_tokens: Prompt tokens that the server probably prefilled.
        running: Mean number of runs on the server, this one included.
    """

    first_event_ms: float
    last_event_ms: float
    event_count: int
    uncached_tokens: int
    running: float

    @classmethod
    def of_release(cls, release: SlotRelease, start: RunStart, running: int) -> "RunTimes":
        """Combines what is known from the grant and from the release of a run."""
        return cls(
            first_event_ms=release.first_event_ms,
            last_event_ms=release.last_event_ms,
            event_count=release.event_count,
            uncached_tokens=start.uncached_tokens,
            running=(start.running + running) / 2,
        )

    @property
    def step_ms(self) -> float | None:
        """Mean time between two events; none if there were too few."""
        if self.event_count < 2 or self.last_event_ms <= self.first_event_ms:
            return None
        return (self.last_event_ms - self.first_event_ms) / (self.event_count - 1)
