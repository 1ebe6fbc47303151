"""Checks, after a run, the records of the stand-ins against the responses that callers got."""

import json
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from ..jobs import JobRecord, JobState, input_key, log_prefix
from ..shard_log import ItemResult, LogEntry
from .engine import StandinEngine, token_text
from .object_api import StandinObjectApi

# An item may still start until this much time without faults has passed since its shard was sealed
# or its job cancelled.
STOP_ALLOWANCE_S = 10.0

__all__ = ["CallerRecord", "FaultWindow", "Verdict", "check_run"]


class FaultWindow(NamedTuple):
    """Period in which a fault was active."""

    from_s: float
    until_s: float


class CallerRecord(NamedTuple):
    """Responses that a caller got for one job; a time of 0 means that it did not happen."""

    member: str
    job_id: str
    accepted_at_s: float = 0.0
    refused_not_run: bool = False
    cancelled_at_s: float = 0.0


class Verdict(NamedTuple):
    """Counts of items and of violated guarantees.

    Attributes:
        accepted: Items of all jobs in the store that are not void.
        lost: Missing jobs, seals and results, wrong results, and jobs with wrong counts.
        doubled: Items with a second result, and log entries that were written again.
        run_after_seal: Log entries after a seal, and items that started long after a seal or the
            cancellation of their job.
        false_refusals: Jobs that exist although their caller was told that they were not run.
    """

    accepted: int = 0
    lost: int = 0
    doubled: int = 0
    run_after_seal: int = 0
    false_refusals: int = 0

    @property
    def is_good(self) -> bool:
        """Whether no guarantee was violated."""
        return not (self.lost or self.doubled or self.run_after_seal or self.false_refusals)

    def __add__(self, other: object) -> "Verdict":
        """Adds the counts of two runs."""
        if not isinstance(other, Verdict):
            return NotImplemented
        return Verdict(*(a + b for a, b in zip(self, other, strict=True)))


class _ShardKeys(NamedTuple):
    """Keys of the job and shard that a prompt belongs to."""

    job_key: str
    shard_prefix: str


def check_run(
    store: StandinObjectApi,
    engines: Iterable[StandinEngine],
    callers: Sequence[CallerRecord],
    faults: Sequence[FaultWindow] = (),
) -> Verdict:
    """Compares the responses to callers with the store's contents and the engines' runs."""
    verdict = Verdict()
    keys_by_prompt: dict[str, _ShardKeys] = {}
    for caller in callers:
        value = store.peek(f"jobs/{caller.member}/{caller.job_id}")
        job = JobRecord.decode(value) if value is not None else None
        if job is None or job.state is JobState.VOID:
            verdict += Verdict(lost=1 if caller.accepted_at_s else 0)
            continue
        if caller.refused_not_run:
            verdict += Verdict(false_refusals=1)
        verdict += _check_job(store, job)
        keys_by_prompt |= _keys_by_prompt(store, job)
    stop_times_s = _seal_times(store) | {
        f"jobs/{caller.member}/{caller.job_id}": caller.cancelled_at_s
        for caller in callers
        if caller.cancelled_at_s
    }
    starts = [start for engine in engines for start in engine.starts]
    late_starts = 0
    for start in starts:
        shard_keys = keys_by_prompt.get(start.prompt)
        stopped_at_s = [stop_times_s[key] for key in shard_keys or () if key in stop_times_s]
        late_starts += any(
            _longest_fault_free_s(at_s, start.at_s, faults) > STOP_ALLOWANCE_S
            for at_s in stopped_at_s
        )
    return verdict + Verdict(run_after_seal=late_starts)


def _check_job(store: StandinObjectApi, job: JobRecord) -> Verdict:
    """Checks the logs of a job's shards, and the job's counts against their results."""
    verdict = Verdict(accepted=job.item_count)
    result_count = failed_count = 0
    for index in range(len(job.shard_items)):
        results, shard_verdict = _read_log(store, job, index)
        verdict += shard_verdict
        result_count += len(results)
        failed_count += sum(1 for result in results.values() if result.error_code)
        wrong = _wrong_results(store, job, index, results)
        missing = job.shard_items[index] - len(results)
        verdict += Verdict(lost=wrong + (missing if job.state is not JobState.CANCELLED else 0))
    counts = (result_count - failed_count, failed_count, job.item_count - result_count)
    is_exact = job.state.is_final and tuple(job.counts) == counts
    return verdict + Verdict(lost=0 if is_exact else 1)


def _read_log(
    store: StandinObjectApi, job: JobRecord, shard_index: int
) -> tuple[dict[int, ItemResult], Verdict]:
    """Reads a log; an entry after a seal counts as a run after it, a missing seal as a loss."""
    results: dict[int, ItemResult] = {}
    doubled = after_seal = 0
    is_sealed = False
    keys = store.peek_keys(log_prefix(job, shard_index))
    for key in keys:
        entry = LogEntry.decode(store.peek(key) or b"")
        after_seal += is_sealed
        doubled += sum(1 for result in entry.results if result.item_index in results)
        results |= {result.item_index: result for result in entry.results}
        is_sealed = is_sealed or entry.is_seal
    rewritten = sum(1 for write in store.applied_writes if write.key in keys) - len(keys)
    lost = 0 if is_sealed else 1
    return results, Verdict(lost=lost, doubled=doubled + rewritten, run_after_seal=after_seal)


def _wrong_results(
    store: StandinObjectApi, job: JobRecord, shard_index: int, results: dict[int, ItemResult]
) -> int:
    """Counts results that are not the complete text that every stand-in engine generates."""
    items = _read_items(store, job, shard_index)
    wrong = 0
    for index, result in results.items():
        item = items[index]
        text = "".join(token_text(item["prompt"], n) for n in range(item["max_tokens"]))
        wrong += not result.error_code and result.text != text
    return wrong


def _read_items(store: StandinObjectApi, job: JobRecord, shard_index: int) -> list[dict]:
    value = store.peek(input_key(job.member, job.job_id, job.upload_id, shard_index)) or b""
    return [json.loads(line) for line in value.split(b"\n") if line]


def _keys_by_prompt(store: StandinObjectApi, job: JobRecord) -> dict[str, _ShardKeys]:
    keys_by_prompt: dict[str, _ShardKeys] = {}
    for index in range(len(job.shard_items)):
        shard_keys = _ShardKeys(job.key, log_prefix(job, index))
        keys_by_prompt |= {item["prompt"]: shard_keys for item in _read_items(store, job, index)}
    return keys_by_prompt


def _seal_times(store: StandinObjectApi) -> dict[str, float]:
    """Returns when each shard was sealed, by the prefix of its log."""
    times: dict[str, float] = {}
    for write in store.applied_writes:
        if write.key.startswith("logs/") and write.value and LogEntry.decode(write.value).is_seal:
            times[write.key.rsplit("/", 1)[0] + "/"] = write.at_s
    return times


def _longest_fault_free_s(from_s: float, until_s: float, faults: Sequence[FaultWindow]) -> float:
    """Returns the longest period between two times in which no fault was active."""
    longest_s, fault_free_from_s = 0.0, from_s
    for window in sorted(faults):
        if window.until_s <= fault_free_from_s:
            continue
        longest_s = max(longest_s, min(window.from_s, until_s) - fault_free_from_s)
        fault_free_from_s = window.until_s
    return max(longest_s, until_s - fault_free_from_s)
