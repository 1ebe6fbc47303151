"""Claims: records in the Object API that let a call with an idempotency key run at most once.

A claim is created before the first byte is sent, with a nonce that identifies its writer,
and the outcome is recorded afterwards. specs/claims.pml is its specification.
"""

import hashlib
import json
import secrets
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeVar

import anyio
from anyio.abc import TaskGroup
from tenacity import AsyncRetrying, RetryError, retry_if_result, stop_after_attempt
from tenacity.wait import wait_random_exponential

from . import logs, metrics
from .clock import Clock
from .errors import (
    RETRY_LATER_MS,
    RETRY_SOON_MS,
    AcceptanceRefused,
    IdempotencyKeyReused,
    InProgress,
    ObjectExists,
    ObjectNotFound,
    OutcomeUnknown,
    StoreThrottled,
    StoreUnavailable,
    VersionConflict,
)
from .object_store import ObjectStore
from .service_client import ServiceAnswer, ServiceCall

CLAIM_TIMEOUT_S = 3.0
RECORD_WAIT_S = 1.0
MAX_ANSWER_BYTES = 512 * 1024
MAX_UNWRITTEN_BYTES = 16 * 1024 * 1024
NONCE_BYTES = 12

T = TypeVar("T")

# After one of these errors, the claim must be read to find out what is stored.
_UNRESOLVED = (ObjectExists, ObjectNotFound, StoreThrottled, StoreUnavailable, VersionConflict)

log = logs.component_logger("claims")

__all__ = [
    "AnswerLost",
    "Answered",
    "Claim",
    "ClaimStore",
    "HeldClaim",
    "NotRun",
    "Progress",
    "Running",
    "call_digest",
    "claim_key",
]


class Running(NamedTuple):
    """The call may run until `expires_at_ms`; after that, its gateway is presumed lost."""

    expires_at_ms: int


class NotRun(NamedTuple):
    """No byte of the call was sent; another request may claim the key."""


class Answered(NamedTuple):
    """The call ran, and this is its complete answer."""

    answer: ServiceAnswer


class AnswerLost(NamedTuple):
    """The call may have run, and its answer is not available."""

    reason: str


Progress = Running | NotRun | Answered | AnswerLost


class Claim(NamedTuple):
    """The record that is stored under an idempotency key."""

    nonce: str
    request_digest: str
    progress: Progress

    def encode(self) -> bytes:
        """Returns one line of JSON, then the answer's body."""
        head: dict[str, object] = {"nonce": self.nonce, "request_digest": self.request_digest}
        body = b""
        match self.progress:
            case Running(expires_at_ms):
                head |= {"state": "running", "expires_at_ms": expires_at_ms}
            case NotRun():
                head |= {"state": "not_run"}
            case Answered(answer):
                head |= {"state": "answered", "status": answer.status}
                head |= {"content_type": answer.content_type}
                body = answer.body
            case AnswerLost(reason):
                head |= {"state": "answer_lost", "reason": reason}
        return json.dumps(head).encode() + b"\n" + body

    @classmethod
    def decode(cls, value: bytes) -> "Claim":
        """Reads what `encode` wrote."""
        line, _, body = value.partition(b"\n")
        head = json.loads(line)
        progress: Progress
        match head["state"]:
            case "running":
                progress = Running(head["expires_at_ms"])
            case "not_run":
                progress = NotRun()
            case "answered":
                progress = Answered(ServiceAnswer(head["status"], body, head["content_type"]))
            case _:
                progress = AnswerLost(head.get("reason", ""))
        return cls(head["nonce"], head["request_digest"], progress)


class _Backoff(NamedTuple):
    attempts: int
    first_s: float
    max_s: float


# A caller waits for the claim, so it has few attempts. Later writes outlast a long store outage.
CLAIM_BACKOFF = _Backoff(attempts=6, first_s=0.05, max_s=0.5)
OUTCOME_BACKOFF = _Backoff(attempts=150, first_s=0.2, max_s=60.0)


class HeldClaim(NamedTuple):
    """A stored claim; if it has this process's nonce, the process may send the call once."""

    key: str
    claim: Claim
    version: int


def claim_key(member: str, idempotency_key: str) -> str:
    """Returns the key of the claim's object."""
    return f"claims/{member}/{hashlib.sha256(idempotency_key.encode()).hexdigest()}"


def call_digest(service: str, call: ServiceCall) -> str:
    """Returns a digest that distinguishes calls under the same key."""
    digest = hashlib.sha256()
    for part in (service.encode(), call.verb.encode(), call.path.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()


class ClaimStore:
    """Creates claims, records their outcomes and answers resent calls from them.

    Args:
        store: The Object API.
        clock: Source of the timestamps in claims and errors.
        tasks: Runs the writes that continue after their request.
    """

    def __init__(self, store: ObjectStore, clock: Clock, tasks: TaskGroup) -> None:
        self._store = store
        self._clock = clock
        self._tasks = tasks
        self._unwritten_bytes = 0
        self._unwritten_count = 0
        self._all_written = anyio.Event()

    async def claim(
        self, key: str, request_digest: str, expires_at_ms: int
    ) -> HeldClaim | ServiceAnswer:
        """Claims the key, or returns the stored answer of the call that ran under it.

        Implements the rules Claim and ResendReads of specs/claims.pml. A write whose answer was
        lost is resolved by reading: the nonce shows whose claim is stored.

        Raises:
            InProgress: If the call is running.
            OutcomeUnknown: If it may have run and its answer is lost.
            IdempotencyKeyReused: If the key was used for another call.
            AcceptanceRefused: If the store did not confirm the claim; the call is never sent.
        """
        nonce = secrets.token_hex(NONCE_BYTES)
        own_claim = Claim(nonce, request_digest, Running(expires_at_ms))
        attempt = _ClaimAttempt(self._store, key, own_claim)
        found = None
        with anyio.move_on_after(CLAIM_TIMEOUT_S):
            found = await _with_backoff(attempt.try_claim, CLAIM_BACKOFF)
        if found is None:
            if attempt.may_be_late:
                self._start_write(self._release, key, own_claim, attempt.late_version)
            retry_at_ms = self._clock.now_ms() + RETRY_LATER_MS
            metrics.CLAIMS.inc({"result": "refused"})
            raise AcceptanceRefused("the claim could not be recorded", retry_at_ms=retry_at_ms)
        if found.claim.nonce == nonce:
            return found
        return self._answer_resent(found.claim, request_digest)

    async def mark_not_run(self, held: HeldClaim) -> None:
        """Releases the key of a call that sent no byte; in the background if the store fails.

        Implements the rule MarkNotRun of specs/claims.pml.
        """
        not_run_claim = Claim(held.claim.nonce, held.claim.request_digest, NotRun())
        metrics.CLAIMS.inc({"result": "not_run"})
        try:
            await self._store.update(held.key, not_run_claim.encode(), held.version)
        except _UNRESOLVED:
            self._start_write(self._release, held.key, held.claim, 0)

    async def record(self, held: HeldClaim, progress: Answered | AnswerLost) -> None:
        """Records the outcome; returns once it is written, or after `RECORD_WAIT_S`.

        The write continues in the background, within limits on attempts and memory. Implements
        the rule RecordOutcome of specs/claims.pml.
        """
        outcome = Claim(held.claim.nonce, held.claim.request_digest, _drop_long_answer(progress))
        value = outcome.encode()
        if self._unwritten_bytes + len(value) > MAX_UNWRITTEN_BYTES:
            metrics.CLAIMS.inc({"result": "outcome_dropped"})
            log.warning("Dropped the outcome of a call: too many outcomes wait to be written.")
            return
        written = anyio.Event()
        self._start_write(self._record, held, value, written)
        with anyio.move_on_after(RECORD_WAIT_S):
            await written.wait()

    async def flush(self) -> None:
        """Waits until all background writes have ended."""
        while self._unwritten_count:
            await self._all_written.wait()

    def _answer_resent(self, claim: Claim, request_digest: str) -> ServiceAnswer:
        """Returns the stored answer of a resent call; raises an error if there is none."""
        if claim.request_digest != request_digest:
            raise IdempotencyKeyReused("the idempotency key was used for another call")
        now_ms = self._clock.now_ms()
        match claim.progress:
            case Answered(answer):
                metrics.CLAIMS.inc({"result": "resent_answered"})
                return answer
            case Running(expires_at_ms) if now_ms < expires_at_ms:
                metrics.CLAIMS.inc({"result": "resent_in_progress"})
                raise InProgress("the call is running", retry_at_ms=now_ms + RETRY_SOON_MS)
            case AnswerLost(reason):
                metrics.CLAIMS.inc({"result": "resent_unknown"})
                raise OutcomeUnknown(f"the call may have run: {reason}")
            case _:
                metrics.CLAIMS.inc({"result": "resent_unknown"})
                raise OutcomeUnknown("the call may have run: its gateway was lost")

    def _start_write(self, write: Callable[..., Awaitable[None]], *args: object) -> None:
        """Runs a write in the background; `flush` waits for it."""

        async def run() -> None:
            await write(*args)
            self._unwritten_count -= 1
            if self._unwritten_count == 0:
                self._all_written.set()

        if self._unwritten_count == 0:
            self._all_written = anyio.Event()
        self._unwritten_count += 1
        self._tasks.start_soon(run)

    async def _record(self, held: HeldClaim, value: bytes, written: anyio.Event) -> None:
        """Writes an outcome, with retries; sets `written` at the end, also if it was dropped."""

        async def write() -> bool | None:
            try:
                await self._store.update(held.key, value, held.version)
            except (StoreUnavailable, StoreThrottled):
                return None
            except (VersionConflict, ObjectNotFound):
                # Only this process updates its running claim, so an earlier attempt took effect.
                return True
            return True

        self._unwritten_bytes += len(value)
        is_written = await _with_backoff(write, OUTCOME_BACKOFF)
        self._unwritten_bytes -= len(value)
        written.set()
        metrics.CLAIMS.inc({"result": "recorded" if is_written else "outcome_dropped"})

    async def _release(self, key: str, own_claim: Claim, late_version: int) -> None:
        """Ensures that an unused claim doesn't block its key, even if its write takes effect late.

        Replacing the version that the late write expects makes that write fail.
        `late_version` is the version that an update without an answer expects.
        """
        value = Claim(own_claim.nonce, own_claim.request_digest, NotRun()).encode()

        async def write() -> bool | None:
            try:
                return await self._write_not_run(key, own_claim.nonce, value, late_version)
            except _UNRESOLVED:
                return None

        if await _with_backoff(write, OUTCOME_BACKOFF) is None:
            log.warning(
                "Could not release an unused claim; a late write of it would block its key."
            )

    async def _write_not_run(self, key: str, nonce: str, value: bytes, late_version: int) -> bool:
        """Writes the claim as not run, if it is stored or a late write may still store it."""
        try:
            stored = await self._store.get(key)
        except ObjectNotFound:
            await self._store.create(key, value)
            return True
        found = Claim.decode(stored.value)
        match found.progress:
            case Running() if found.nonce == nonce:
                await self._store.update(key, value, stored.version)
            case NotRun() if stored.version == late_version:
                await self._store.update(key, value, stored.version)
        return True


class _ClaimAttempt:
    """Tries to write one claim.

    `may_be_late` is set if a write may still take effect; `late_version` is the last version that
    such a write expects, 0 for a create.
    """

    def __init__(self, store: ObjectStore, key: str, own_claim: Claim) -> None:
        self.may_be_late = False
        self.late_version = 0
        self._store = store
        self._key = key
        self._own_claim = own_claim
        self._value = own_claim.encode()

    async def try_claim(self) -> HeldClaim | None:
        """Returns the stored claim, which may be another process's; none if it isn't known."""
        try:
            return await self._write(self._store.create(self._key, self._value))
        except StoreThrottled:
            return None
        except (ObjectExists, StoreUnavailable):
            return await self._resolve()

    async def _resolve(self) -> HeldClaim | None:
        """Reads the stored claim, and replaces it if it is free; none if the result isn't known."""
        try:
            stored = await self._store.get(self._key)
            found = HeldClaim(stored.key, Claim.decode(stored.value), stored.version)
            if not _is_free(found.claim, self._own_claim):
                return found
            self.late_version = stored.version
            update = self._store.update(self._key, self._value, stored.version)
            return await self._write(update)
        except _UNRESOLVED:
            return None

    async def _write(self, write: Awaitable[int]) -> HeldClaim:
        """Awaits a write of the own claim; sets `may_be_late` unless it certainly had no effect."""
        was_late, self.may_be_late = self.may_be_late, True
        try:
            return HeldClaim(self._key, self._own_claim, await write)
        except (ObjectExists, VersionConflict, StoreThrottled):
            self.may_be_late = was_late
            raise


def _is_free(found: Claim, own_claim: Claim) -> bool:
    is_same_call = found.request_digest == own_claim.request_digest
    return isinstance(found.progress, NotRun) and is_same_call


def _drop_long_answer(progress: Answered | AnswerLost) -> Answered | AnswerLost:
    match progress:
        case Answered(answer) if len(answer.body) > MAX_ANSWER_BYTES:
            return AnswerLost(f"it ran, and its answer was over {MAX_ANSWER_BYTES} bytes")
    return progress


async def _with_backoff(function: Callable[[], Awaitable[T | None]], backoff: _Backoff) -> T | None:
    """Calls the function with jittered back-off until it returns a result; `None` if none."""
    retrying = AsyncRetrying(
        sleep=anyio.sleep,
        stop=stop_after_attempt(backoff.attempts),
        wait=wait_random_exponential(backoff.first_s, backoff.max_s),
        retry=retry_if_result(lambda result: result is None),
    )
    try:
        return await retrying(function)
    except RetryError:
        return None
