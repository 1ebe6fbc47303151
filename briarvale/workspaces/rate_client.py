"""The policy of a node's side of rate limits, without a network.

A charge is a generator: it yields what to ask of which node, receives the answer, or None if none
came in time, and ends once the request may run. `RateLimiter` drives it with real messages, the
tests in simulated time.
"""

from collections.abc import Callable, Generator, Iterable, Sequence
from typing import NamedTuple, Protocol

import xxhash

from .. import metrics
from .._generated.messages import RateAnswer, RateRequest
from ..errors import RateLimited
from .ledger import GROUP_COUNT
from .rate_demand import RateDemand
from .share_delegation import ShareDelegation
from .tolerance import IN_FLIGHT_MS, tolerance_holders
from .workspace import Workspace

# An owner that doesn't answer delays a request by the first time-out at most, all nodes together by
# the second one.
OWNER_TIMEOUT_MS = 100
CHARGE_TIMEOUT_MS = 150
HOLDER_TIMEOUT_MS = 40
# Callers that retry sooner would only add load.
MIN_RETRY_MS = 10
# How late this process may notice an answer that came in time.
MAX_DELAY_MS = 20
# Nodes that did not answer are not asked for this long. Those that may own a group are probed more
# often in the background, so that no further request waits for them.
SILENCE_MS = 2_000
RENEW_INTERVAL_MS = 500
# Delegations that a request renewed this recently need no message of their own.
FRESH_DELEGATION_MS = 250
# Request ids of a process continue above those of an earlier one on the same node.
REQUEST_IDS_PER_MS = 1_000
PRUNE_STATES = 10_000

__all__ = ["Charge", "RateCall", "RateClient", "RateFleet", "group_of"]


class RateFleet(Protocol):
    """What the policy needs to know of the fleet."""

    def rate_owners(self, group: int) -> Sequence[str]:
        """Returns the nodes that may own a group, the preferred one first."""

    def known_nodes(self) -> Sequence[str]:
        """Returns all nodes of the VM list, whether alive or not."""

    def is_lost(self, vm: str) -> bool:
        """Whether a node is dead, leaving or not listed."""


class RateCall(NamedTuple):
    """A message to one node; an answer after the time-out is not used."""

    node: str
    request: RateRequest
    timeout_ms: int


Charge = Generator[RateCall, RateAnswer | None, None]


class _Stamp(NamedTuple):
    """The last answer of an owner, and when it arrived."""

    owner_epoch: int
    stamp_ms: int
    received_ms: int


def group_of(workspace: str) -> int:
    """Returns the group of workspaces that has one owner."""
    return xxhash.xxh3_64_intdigest(workspace.encode()) % GROUP_COUNT


class RateClient:
    """Requests tokens for the callers of one node, and delegates the node's share to the owners.

    Args:
        vm: This node; it is its own owner if no other answers.
        fleet: The other nodes.
        now_ms: Returns the current time.
    """

    def __init__(self, vm: str, fleet: RateFleet, now_ms: Callable[[], int]) -> None:
        self._vm = vm
        self._fleet = fleet
        self._now_ms = now_ms
        self._delegations = [ShareDelegation() for _ in range(GROUP_COUNT)]
        self._demands: dict[str, RateDemand] = {}
        self._stamps: dict[str, _Stamp] = {}
        self._silent_until_ms: dict[str, int] = {}
        self._last_request_id = now_ms() * REQUEST_IDS_PER_MS

    def charge(self, workspace: Workspace, config_version: int) -> Charge:
        """Counts one request towards the limits of its workspace.

        Raises:
            RateLimited: With the time at which the request would be within the limit.
        """
        if workspace.limits.rate_per_s <= 0:
            return
        demand = self._demand(workspace.name)
        started_ms = self._now_ms()
        demand.count(started_ms)
        if demand.spend(started_ms):
            return _count_charge("held")
        owner = self._owner(group_of(workspace.name))
        is_answered = True
        if started_ms >= demand.refused_until_ms:
            source, is_answered = yield from self._ask_owner(workspace, owner, config_version)
            if source:
                return _count_charge(source)
        if not is_answered or demand.is_partial:
            is_granted = yield from self._ask_holders(workspace, config_version, started_ms)
            if is_granted:
                return _count_charge("tolerance")
        raise self._refusal(workspace, owner, demand, is_answered)

    def renew(self, groups: Iterable[int]) -> Charge:
        """Delegates this node's shares of the groups in use, and probes owners that are silent."""
        for group in groups:
            owner = self._owner(group)
            for preferred in self._fleet.rate_owners(group):
                if preferred == owner:
                    break
                # Without tokens, this leaves the delegation as it is.
                probe = RateRequest(group=group, is_tolerance=True)
                yield from self._call(preferred, probe, CHARGE_TIMEOUT_MS)
            owner = self._owner(group)
            yield from self._end_delegation(group, owner)
            delegation = self._delegations[group]
            is_fresh = (
                delegation.owner == owner
                and self._now_ms() - delegation.delegated_at_ms < FRESH_DELEGATION_MS
            )
            if not is_fresh:
                yield from self._call(owner, RateRequest(group=group), CHARGE_TIMEOUT_MS)

    def hear(self, node: str) -> None:
        """Records that a node answers again; an answer that came too late is not used otherwise."""
        self._silent_until_ms.pop(node, None)

    def _end_delegation(self, group: int, owner: str) -> Charge:
        """Ends the delegation to an earlier owner, so that the new one gets the share at once."""
        delegation = self._delegations[group]
        if delegation.owner is None or delegation.owner == owner:
            return
        earlier = delegation.owner
        request = RateRequest(group=group)
        answer = yield from self._call(earlier, request, CHARGE_TIMEOUT_MS, may_delegate=False)
        if answer is not None:
            delegation.take_back(earlier, answer.request_id)

    def _ask_owner(
        self, workspace: Workspace, owner: str, config_version: int
    ) -> Generator[RateCall, RateAnswer | None, tuple[str, bool]]:
        """Requests tokens; returns where they come from, if any, and whether the owner answered.

        A node whose owner does not answer has its own share, if no other node may own the group.
        """
        demand = self._demand(workspace.name)
        sent_ms = self._now_ms()
        request = _token_request(workspace, config_version, demand.prefetch_count())
        answer = yield from self._call(owner, request, OWNER_TIMEOUT_MS)
        is_answered = answer is not None
        if answer is None:
            owner = self._owner(group_of(workspace.name))
            if owner == self._vm:
                answer = yield from self._call(owner, request, OWNER_TIMEOUT_MS)
        if answer is None:
            return "", False
        if answer.granted:
            demand.keep(answer.granted - 1, sent_ms + IN_FLIGHT_MS)
            return ("own" if owner == self._vm else "owner"), is_answered
        now_ms = self._now_ms()
        demand.refuse(answer.retry_after_ms, now_ms, is_partial=answer.is_partial)
        return "", is_answered

    def _ask_holders(
        self, workspace: Workspace, config_version: int, started_ms: int
    ) -> Generator[RateCall, RateAnswer | None, bool]:
        """Requests a token beyond the limit; returns whether one was granted."""
        demand = self._demand(workspace.name)
        if self._now_ms() < demand.tolerance_refused_until_ms:
            return False
        request = _token_request(workspace, config_version, 1)._replace(is_tolerance=True)
        retry_after_ms: list[int] = []
        for holder in tolerance_holders(workspace.name, self._fleet.known_nodes()):
            left_ms = started_ms + CHARGE_TIMEOUT_MS - self._now_ms()
            if left_ms <= 0:
                break
            if self._is_silent(holder) or (holder != self._vm and self._fleet.is_lost(holder)):
                continue
            answer = yield from self._call(holder, request, min(left_ms, HOLDER_TIMEOUT_MS))
            if answer is not None and answer.granted:
                return True
            if answer is not None:
                retry_after_ms.append(answer.retry_after_ms)
        if retry_after_ms:
            demand.refuse_tolerance(min(retry_after_ms), self._now_ms())
        return False

    def _call(
        self, node: str, request: RateRequest, timeout_ms: int, *, may_delegate: bool = True
    ) -> Generator[RateCall, RateAnswer | None, RateAnswer | None]:
        """Asks one node; returns None if no answer came in time, and notes that it is silent."""
        sent_ms = self._now_ms()
        request = self._address(node, request, may_delegate, sent_ms)
        answer = yield RateCall(node, request, timeout_ms)
        now_ms = self._now_ms()
        # An answer that waited while this process was stopped counts as none: its tokens are spent.
        if answer is None or now_ms - sent_ms > timeout_ms + MAX_DELAY_MS:
            self._silent_until_ms[node] = now_ms + SILENCE_MS
            return None
        self._silent_until_ms.pop(node, None)
        self._stamps[node] = _Stamp(answer.owner_epoch, answer.stamp_ms, now_ms)
        return answer

    def _address(
        self, node: str, request: RateRequest, may_delegate: bool, now_ms: int
    ) -> RateRequest:
        """Returns a request with its id, the node's last stamp, and the delegation if free."""
        self._last_request_id += 1
        request_id = self._last_request_id
        delegation = self._delegations[request.group]
        is_owner = not request.is_tolerance and node == self._owner(request.group)
        is_delegating = may_delegate and is_owner and delegation.may_delegate(node, now_ms)
        request = request._replace(request_id=request_id, is_delegating=is_delegating)
        stamp = self._stamps.get(node)
        if is_delegating:
            # Without a stamp the owner does not count the delegation yet.
            delegation.delegate(node, request_id, stamp.received_ms if stamp else 0, now_ms)
        if stamp is None:
            return request
        return request._replace(
            owner_epoch=stamp.owner_epoch,
            stamp_ms=stamp.stamp_ms,
            since_stamp_ms=max(0, now_ms - stamp.received_ms),
        )

    def _owner(self, group: int) -> str:
        """Returns the first possible owner that is not silent, or else this node."""
        for name in self._fleet.rate_owners(group):
            if name == self._vm or not self._is_silent(name):
                return name
        return self._vm

    def _is_silent(self, node: str) -> bool:
        return self._now_ms() < self._silent_until_ms.get(node, 0)

    def _demand(self, workspace: str) -> RateDemand:
        demand = self._demands.get(workspace)
        if demand is None:
            if len(self._demands) >= PRUNE_STATES:
                self._demands.clear()
            demand = self._demands[workspace] = RateDemand(self._now_ms())
        return demand

    def _refusal(
        self, workspace: Workspace, owner: str, demand: RateDemand, is_answered: bool
    ) -> RateLimited:
        now_ms = self._now_ms()
        retry_at_ms = demand.retry_at_ms
        if retry_at_ms <= now_ms:
            retry_at_ms = self._delegations[group_of(workspace.name)].free_at_ms
        retry_at_ms = max(retry_at_ms, now_ms + MIN_RETRY_MS)
        error = RateLimited(
            f"over the limit of {workspace.limits.rate_per_s:g} requests per second",
            retry_at_ms=retry_at_ms,
        )
        error.owner = owner
        error.reason = "limit"
        if not is_answered:
            error.reason = "owner_unreachable"
        elif demand.is_partial:
            error.reason = "partial_owner"
        metrics.RATE_REFUSALS.inc({"reason": error.reason})
        return error


def _token_request(workspace: Workspace, config_version: int, count: int) -> RateRequest:
    return RateRequest(
        group=group_of(workspace.name),
        workspace=workspace.name,
        token_count=count,
        rate_per_s=workspace.limits.rate_per_s,
        burst=workspace.limits.burst,
        config_version=config_version,
    )


def _count_charge(source: str) -> None:
    metrics.RATE_CHARGES.inc({"source": source})
