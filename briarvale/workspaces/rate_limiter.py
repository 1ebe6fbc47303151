"""Charges requests to the rate limits of their workspaces, over all nodes."""

from collections.abc import Callable
from functools import partial
from typing import Protocol

import anyio

from .. import logs
from .._generated.messages import RateAnswer, RateRequest
from ..clock import MS_PER_S, Clock
from ..containment import run_contained
from ..errors import RateLimited
from ..peer import PeerAddress
from .rate_client import RENEW_INTERVAL_MS, Charge, RateCall, RateClient, RateFleet, group_of
from .rate_link import RateLinks
from .workspace import Workspace, WorkspaceTable

log = logs.component_logger("rate limits")

__all__ = ["RateCluster", "RateLimiter"]


class RateCluster(RateFleet, Protocol):
    """The fleet as the rate limits see it; `NodeCluster` implements it."""

    def rate_address(self, vm: str) -> PeerAddress | None:
        """Returns the address where a node answers; none if it isn't known."""

    def answer_rate_request(self, request: RateRequest, vm: str) -> RateAnswer:
        """Answers a request as the owner; `vm` is the node that requests."""


class RateLimiter:
    """Rate limits at one node.

    Args:
        vm: This node.
        cluster: The fleet, and this node as an owner.
        links: Connections to the other nodes.
        clock: Source of timestamps.
        config: Returns the version of the configuration in force and its workspaces.
    """

    def __init__(
        self,
        vm: str,
        cluster: RateCluster,
        links: RateLinks,
        clock: Clock,
        config: Callable[[], tuple[int, WorkspaceTable | None]],
    ) -> None:
        self._vm = vm
        self._cluster = cluster
        self._links = links
        self._clock = clock
        self._config = config
        self._client = RateClient(vm, cluster, clock.now_ms)

    async def charge(self, workspace: Workspace, request_id: str = "") -> None:
        """Counts a request towards the limit of its workspace; returns if it may run.

        Args:
            request_id: The request's id, for the log.

        Raises:
            RateLimited: With the time at which the request would be within the limit.
        """
        if workspace.limits.rate_per_s <= 0:
            return
        version, _ = self._config()
        try:
            await self._drive(self._client.charge(workspace, version))
        except RateLimited as error:
            log.info(
                "Refused a request over its workspace's limit.",
                request_id=request_id,
                workspace=workspace.name,
                rate_per_s=workspace.limits.rate_per_s,
                burst=workspace.limits.burst,
                owner=error.owner,
                reason=error.reason,
                retry_at_ms=error.retry_at_ms,
            )
            raise

    async def run(self) -> None:
        """Delegates this node's share to the owners, until cancelled."""
        while True:
            await anyio.sleep(RENEW_INTERVAL_MS / MS_PER_S)
            _, table = self._config()
            groups = {group_of(found.name) for found in table or () if found.limits.rate_per_s > 0}
            async with anyio.create_task_group() as tasks:
                for group in groups:
                    tasks.start_soon(run_contained, "rate limits", self._renew, group)

    async def _renew(self, group: int) -> None:
        await self._drive(self._client.renew((group,)))

    async def _drive(self, charge: Charge) -> None:
        """Sends the messages of a charge until it ends; raises what it raises."""
        try:
            call = next(charge)
            while True:
                call = charge.send(await self._call(call))
        except StopIteration:
            return

    async def _call(self, call: RateCall) -> RateAnswer | None:
        if call.node == self._vm:
            return self._cluster.answer_rate_request(call.request, self._vm)
        address = self._cluster.rate_address(call.node)
        if address is None:
            return None
        with anyio.move_on_after(call.timeout_ms / MS_PER_S):
            return await self._links.ask(
                address, call.request, partial(self._client.hear, call.node)
            )
        return None
