"""The owner's side of rate limits: token buckets scaled by the shares that nodes delegate to it."""

import math
import secrets
from typing import NamedTuple

from .._generated.messages import RateAnswer, RateRequest
from ..clock import MS_PER_S
from ..headroom import PeakDemand
from .share_leases import HOLD_MS, LEASE_MS, ShareLeases
from .token_bucket import TokenBucket
from .tolerance import (
    HOLDER_COUNT,
    MIN_OWNER_SHARE,
    Quota,
    ToleranceBudget,
    tolerance_holders,
)
from .workspace import WorkspaceLimits

# Workspaces are divided into groups with one owner each. Shares are delegated by group, so that the
# number of messages does not depend on the number of workspaces.
GROUP_COUNT = 4
# How long a lower number of known nodes is ignored, so that a node that comes back is counted.
KNOWN_WINDOW_MS = 10_000
# A clock that is this far behind what a node measured was stopped: less than HOLD_MS - LEASE_MS.
MAX_CLOCK_LAG_MS = 50
CLOCK_DRIFT_DIVISOR = 1_000
# With fewer shares than this, a refusal may be due to the missing ones.
COMPLETE_SHARE = 0.9
MIN_HISTORY_MS = 1_000
MAX_HISTORY_MS = 60_000
MAX_BUCKETS = 2_000
MAX_RETRY_MS = 3_600_000
# Nodes wait less than this for an answer.
MAX_ROUND_TRIP_MS = 200

__all__ = ["GROUP_COUNT", "RateOwner"]


class _Bucket:
    """A workspace's bucket, the limits that it keeps, and the delegations that have filled it."""

    def __init__(self, limits: WorkspaceLimits, config_version: int) -> None:
        self.tokens = TokenBucket(0.0)
        self.limits = limits
        self.config_version = config_version
        self.covered_ms = 0.0


class _Shares(NamedTuple):
    """How many nodes delegate their shares, of how many."""

    delegated: int
    known: int

    @property
    def fraction(self) -> float:
        """The part of the limits that this owner may spend."""
        return min(1.0, self.delegated / self.known) if self.known else 0.0

    def capacity(self, limits: WorkspaceLimits) -> float:
        """Returns the burst that this owner may spend."""
        capacity = limits.burst * self.fraction
        return max(capacity, 1.0) if self.fraction >= MIN_OWNER_SHARE else capacity


class _Group:
    """The delegations and buckets of the workspaces of one group."""

    def __init__(self, now_ms: int) -> None:
        self.leases = ShareLeases(now_ms)
        self.buckets: dict[str, _Bucket] = {}
        self._complete_from_ms = 0.0

    def advance(self, known: int, now_ms: int) -> _Shares:
        """Counts the delegations up to now; one that ended takes its part of the tokens with it."""
        delegated_before = self.leases.count
        self.leases.advance(now_ms)
        return self.reduce(delegated_before, known)

    def reduce(self, delegated_before: int, known: int) -> _Shares:
        """Reduces all buckets if fewer nodes delegate than before; returns the shares."""
        shares = _Shares(self.leases.count, max(known, self.leases.count) if known else 0)
        if shares.delegated < delegated_before:
            for bucket in self.buckets.values():
                self.settle(bucket, shares)
        if shares.fraction < COMPLETE_SHARE:
            self._complete_from_ms = self.leases.covered_ms
        return shares

    def settle(self, bucket: _Bucket, shares: _Shares) -> None:
        """Adds the tokens of the delegations since the last call, up to the capacity."""
        covered_ms = self.leases.covered_ms - bucket.covered_ms
        bucket.covered_ms = self.leases.covered_ms
        if not shares.known:
            return
        refill = bucket.limits.rate_per_s * covered_ms / MS_PER_S / shares.known
        bucket.tokens.refill(refill, shares.capacity(bucket.limits))

    def bucket(self, request: RateRequest, shares: _Shares) -> _Bucket:
        """Returns the bucket of a request's workspace, settled; the newest limits apply.

        A new one holds what it would hold had it been there from the start of the delegations.
        """
        limits = WorkspaceLimits(request.rate_per_s, request.burst)
        bucket = self.buckets.get(request.workspace)
        if bucket is None:
            self._drop_full()
            bucket = self.buckets[request.workspace] = _Bucket(limits, request.config_version)
        self.settle(bucket, shares)
        if request.config_version > bucket.config_version:
            bucket.limits, bucket.config_version = limits, request.config_version
            self.settle(bucket, shares)
        return bucket

    def is_partial(self, limits: WorkspaceLimits, shares: _Shares) -> bool:
        """Whether shares are missing, or were so lately that buckets may not be full again."""
        if shares.fraction < COMPLETE_SHARE:
            return True
        fill_ms = limits.burst / limits.rate_per_s * MS_PER_S if limits.rate_per_s else 0.0
        needed_ms = min(MAX_HISTORY_MS, max(MIN_HISTORY_MS, fill_ms))
        return (self.leases.covered_ms - self._complete_from_ms) / shares.known < needed_ms

    def _drop_full(self) -> None:
        """Forgets full buckets, which would be full again if they were made anew."""
        if len(self.buckets) < MAX_BUCKETS:
            return
        for name, bucket in list(self.buckets.items()):
            if bucket.tokens.level >= bucket.limits.burst:
                del self.buckets[name]


class RateOwner:
    """Grants tokens to the nodes that request them here, and this node's part of the tolerance.

    Whether this node is an owner is decided by those that delegate their shares to it. Each share
    is delegated to one owner at a time, so all owners together grant no more than the limit.

    Args:
        vm: This node.
        quota: How exactly limits are kept.
        now_ms: Time of the start.
    """

    def __init__(self, vm: str, quota: Quota, now_ms: int) -> None:
        self._vm = vm
        self._quota = quota
        self._tolerance = ToleranceBudget(quota, now_ms)
        self._known = PeakDemand(KNOWN_WINDOW_MS)
        self._groups: dict[int, _Group] = {}
        self._epoch = secrets.randbits(63)

    def answer(
        self, request: RateRequest, node: str, known_nodes: list[str], now_ms: int
    ) -> RateAnswer:
        """Answers a node's request.

        Args:
            known_nodes: All nodes of the VM list, whether alive or not.
        """
        self._known.observe(len(known_nodes), now_ms)
        is_known = request.owner_epoch == self._epoch
        if is_known and _is_clock_behind(request, now_ms):
            # The clock stood still, so shares that seem to be delegated may be spent elsewhere.
            self._groups.clear()
            self._epoch = secrets.randbits(63)
            is_known = False
        answer = RateAnswer(request.request_id, owner_epoch=self._epoch, stamp_ms=now_ms)
        if not _is_valid(request):
            return answer
        if request.is_tolerance:
            return self._answer_tolerance(request, answer, known_nodes, now_ms)
        shares, group = self._apply_delegation(request, node, is_known, now_ms)
        if not request.token_count or (is_known and _is_stale(request, now_ms)):
            return answer
        return self._grant(request, answer, group, shares)

    def _apply_delegation(
        self, request: RateRequest, node: str, is_known: bool, now_ms: int
    ) -> tuple[_Shares, _Group]:
        known = self._known.peak(now_ms)
        group = self._groups.setdefault(request.group % GROUP_COUNT, _Group(now_ms))
        group.advance(known, now_ms)
        delegated_before = group.leases.count
        if not request.is_delegating:
            group.leases.release(node, request.request_id)
        elif is_known:
            group.leases.renew(node, request.request_id, request.stamp_ms + LEASE_MS)
        return group.reduce(delegated_before, known), group

    def _grant(
        self, request: RateRequest, answer: RateAnswer, group: _Group, shares: _Shares
    ) -> RateAnswer:
        bucket = group.bucket(request, shares)
        granted = bucket.tokens.take(request.token_count)
        if granted:
            return answer._replace(granted=granted)
        rate_per_s = bucket.limits.rate_per_s
        wait_ms = bucket.tokens.wait_ms(rate_per_s * shares.fraction)
        is_partial = group.is_partial(bucket.limits, shares)
        if is_partial:
            # The other shares arrive once their delegations to an earlier owner have ended.
            wait_ms = min(wait_ms, HOLD_MS + bucket.tokens.wait_ms(rate_per_s))
        retry_after_ms = math.ceil(min(wait_ms, MAX_RETRY_MS))
        return answer._replace(retry_after_ms=retry_after_ms, is_partial=is_partial)

    def _answer_tolerance(
        self, request: RateRequest, answer: RateAnswer, known_nodes: list[str], now_ms: int
    ) -> RateAnswer:
        if not request.token_count:
            return answer
        holders = tolerance_holders(request.workspace, known_nodes)
        if self._vm not in holders:
            return answer._replace(retry_after_ms=self._quota.window_ms)
        limits = WorkspaceLimits(request.rate_per_s, request.burst)
        rank, parts = holders.index(self._vm), min(HOLDER_COUNT, len(holders))
        wait_ms = self._tolerance.take(request.workspace, limits, rank, parts, now_ms)
        if wait_ms:
            return answer._replace(retry_after_ms=wait_ms)
        return answer._replace(granted=1)


def _is_valid(request: RateRequest) -> bool:
    return all(math.isfinite(v) and v >= 0 for v in (request.rate_per_s, request.burst))


def _is_clock_behind(request: RateRequest, now_ms: int) -> bool:
    """Whether less time passed here since the stamp than the node has measured."""
    lag_ms = request.stamp_ms + request.since_stamp_ms - now_ms
    return lag_ms > MAX_CLOCK_LAG_MS + request.since_stamp_ms // CLOCK_DRIFT_DIVISOR


def _is_stale(request: RateRequest, now_ms: int) -> bool:
    """Whether the node has given up, for example as this process was stopped meanwhile.

    The request was sent `since_stamp_ms` after its stamp arrived, so at the earliest then.
    """
    return now_ms - request.stamp_ms - request.since_stamp_ms > MAX_ROUND_TRIP_MS
