"""How many events the answers of a pool have."""

from .._generated.messages import SlotRequest, WorkClass

# Weight of the latest answer.
WEIGHT = 0.02

__all__ = ["EventCounts"]


class EventCounts:
    """Mean events of an answer by class, and for each expected token of an answer."""

    def __init__(self) -> None:
        self._means = dict.fromkeys(WorkClass, 1.0)
        self._per_token = 1.0

    def record(self, work_class: WorkClass, output_tokens: int, count: int) -> None:
        """Records a complete answer; one without events is ignored."""
        if count <= 0:
            return
        self._means[work_class] += WEIGHT * (count - self._means[work_class])
        if output_tokens:
            self._per_token += WEIGHT * (count / output_tokens - self._per_token)

    def expected(self, request: SlotRequest) -> float:
        """Returns the expected events of an answer; at least 1."""
        if request.output_tokens:
            return max(1.0, request.output_tokens * self._per_token)
        return max(1.0, self._means[request.work_class])
