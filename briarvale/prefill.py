"""How long a backend server still prefills the prompts that it was given."""

from .clock import MS_PER_S

MAX_BACKLOG_MS = 50.0

__all__ = ["PrefillBacklog"]


class PrefillBacklog:
    """Estimates the prefill that an engine, which knows no priorities, has queued.

    Prompts beyond `MAX_BACKLOG_MS` wait at the owner, where members and classes are ordered.

    Args:
        tokens_per_s: Prompt tokens that the engine prefills in a second.
    """

    def __init__(self, tokens_per_s: float) -> None:
        self.tokens_per_s = tokens_per_s
        self._ends_at_ms = 0.0

    @property
    def next_start_at_ms(self) -> float:
        """When the next prompt may be given."""
        return self._ends_at_ms - MAX_BACKLOG_MS

    @property
    def ends_at_ms(self) -> float:
        """When all that was started is prefilled."""
        return self._ends_at_ms

    def duration_ms(self, prompt_tokens: int) -> float:
        """Returns how long a prompt takes that is not cached."""
        return prompt_tokens * MS_PER_S / self.tokens_per_s

    def record_start(self, prompt_tokens: int, now_ms: int) -> None:
        """Takes the start of a request."""
        self._ends_at_ms = max(self._ends_at_ms, now_ms) + self.duration_ms(prompt_tokens)
