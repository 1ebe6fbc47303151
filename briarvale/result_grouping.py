"""Decides when the results of a job are committed, as each log entry costs two calls to the store.

Results wait for others while the job's due date is far. The wait is bounded, since a node that is
killed loses the results that it has not committed, and their items run again.
"""

__all__ = ["commit_at_ms"]

# Results that arrive within this time share one log entry, also when the due date is near.
MIN_GROUPING_MS = 150
MAX_GROUPING_MS = 1_500
# Part of the time until the due date that results may wait.
DUE_FRACTION = 0.1
# More results than this are committed without a further wait.
GROUP_SIZE = 16


def commit_at_ms(
    first_at_ms: int, due_at_ms: int, waiting_count: int, unfinished_count: int
) -> int:
    """Returns when to commit a job's waiting results; a Unix time in milliseconds.

    Args:
        first_at_ms: When the first of them arrived.
        due_at_ms: When the job is due; 0 or less if it has no due date.
        waiting_count: How many results wait.
        unfinished_count: How many items have neither a committed nor a waiting result.
    """
    if unfinished_count == 0 or waiting_count >= GROUP_SIZE:
        return first_at_ms + MIN_GROUPING_MS
    if due_at_ms <= 0:
        return first_at_ms + MAX_GROUPING_MS
    wait_ms = int((due_at_ms - first_at_ms) * DUE_FRACTION)
    return first_at_ms + min(MAX_GROUPING_MS, max(MIN_GROUPING_MS, wait_ms))
