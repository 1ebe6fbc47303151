"""Estimate of a backend server's queued prefill work."""

from .clock import MS_PER_S

MAX_BACKLOG_MS = 50.0

__all__ = ["PrefillBacklog"]


class PrefillBacklog:
    """Estimates the prefill work that an engine has queued.

    Engines can't prioritize prompts. So those beyond `MAX_BACKLOG_MS` wait at the owner, which
    orders them by class and member.

    Args:
        tokens_per_s: Prompt tokens that the engine prefills in a second.
    """

    def __init__(self, tokens_per_s: float) -> None:
        self.tokens_per_s = tokens_per_s
        self._ends_at_ms = 0.0

    @property
    def next_start_at_ms(self) -> float:
        """When the next prompt may be sent to the engine."""
        return self._ends_at_ms - MAX_BACKLOG_MS

    @property
    def ends_at_ms(self) -> float:
        """When the engine will have prefilled all prompts sent so far."""
        return self._ends_at_ms

    def duration_ms(self, prompt_tokens: int) -> float:
        """Returns the prefill time of a prompt that isn't cached."""
        return prompt_tokens * MS_PER_S / self.tokens_per_s

    def record_start(self, prompt_tokens: int, now_ms: int) -> None:
        """Records that a prompt was sent to the engine."""
        self._ends_at_ms = max(self._ends_at_ms, now_ms) + self.duration_ms(prompt_tokens)
