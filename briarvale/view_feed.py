"""The fleet view that a dispatcher sends to local programs: once in full, then as deltas.

Changes are batched, for longer in larger fleets, so that their cost stays bounded.
"""

from collections.abc import Callable

import anyio

from ._generated.messages import ServerState, View, VmState

MIN_INTERVAL_S = 0.02
# A view of n servers is sent at most every n / `SERVERS_PER_S` seconds.
SERVERS_PER_S = 10_000

__all__ = ["ViewFeed"]


class ViewFeed:
    """Sends changes of the view to local programs.

    Args:
        make_view: Returns the complete view.
        send: Sends a view to all local programs.
    """

    def __init__(self, make_view: Callable[[], View], send: Callable[[View], None]) -> None:
        self._make_view = make_view
        self._send = send
        self._change_pending = anyio.Event()
        self._revision = -1
        self._vms: dict[str, VmState] = {}
        self._servers: dict[str, ServerState] = {}

    def mark_changed(self) -> None:
        """Schedules the changes of the view to be sent."""
        self._change_pending.set()

    async def run(self) -> None:
        """Sends changes until cancelled."""
        while True:
            await self._change_pending.wait()
            self._change_pending = anyio.Event()
            view = self._make_view()
            self._send(self._changes(view))
            await anyio.sleep(max(MIN_INTERVAL_S, len(view.servers) / SERVERS_PER_S))

    def _changes(self, view: View) -> View:
        """Returns the delta since the last view, or the complete view if a delta does not suffice.

        A delta can express neither a change of the configuration nor the removal of a VM.
        """
        vms = {vm.vm: vm for vm in view.vms}
        servers = {server.backend_server: server for server in view.servers}
        is_full = view.config_revision != self._revision or not self._vms.keys() <= vms.keys()
        sent_vms, sent_servers = self._vms, self._servers
        self._revision, self._vms, self._servers = view.config_revision, vms, servers
        if is_full:
            return view
        return View(
            vms=tuple(vm for vm in view.vms if sent_vms.get(vm.vm) != vm),
            servers=tuple(s for s in view.servers if _differs(s, sent_servers[s.backend_server])),
            config_revision=view.config_revision,
            is_delta=True,
        )


def _differs(state: ServerState, sent: ServerState) -> bool:
    """Whether a state differs from the one sent before, apart from the time of its observation."""
    return state._replace(observed_at_ms=sent.observed_at_ms) != sent
