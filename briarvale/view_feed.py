"""What a dispatcher tells local programs of the fleet: a whole view once, then what changed.

Changes are gathered, and the larger the fleet the longer, so that their cost stays bounded.
"""

from collections.abc import Callable

import anyio

from ._generated.messages import ServerState, View, VmState

MIN_INTERVAL_S = 0.02
SERVERS_PER_S = 10_000

__all__ = ["ViewFeed"]


class ViewFeed:
    """Sends changes of the view.

    Args:
        make_view: Returns the whole view.
        send: Sends a view to all local programs.
    """

    def __init__(self, make_view: Callable[[], View], send: Callable[[View], None]) -> None:
        self._make_view = make_view
        self._send = send
        self._marked = anyio.Event()
        self._revision = -1
        self._vms: dict[str, VmState] = {}
        self._servers: dict[str, ServerState] = {}

    def mark_changed(self) -> None:
        """Has the view sent soon."""
        self._marked.set()

    async def run(self) -> None:
        """Sends changes until cancelled."""
        while True:
            await self._marked.wait()
            self._marked = anyio.Event()
            view = self._make_view()
            self._send(self._changes(view))
            await anyio.sleep(max(MIN_INTERVAL_S, len(view.servers) / SERVERS_PER_S))

    def _changes(self, view: View) -> View:
        """Returns the changes since the last view, or the whole view if something was removed."""
        vms = {vm.vm: vm for vm in view.vms}
        servers = {server.backend_server: server for server in view.servers}
        is_whole = view.config_revision != self._revision or not self._vms.keys() <= vms.keys()
        told_vms, told_servers = self._vms, self._servers
        self._revision, self._vms, self._servers = view.config_revision, vms, servers
        if is_whole:
            return view
        return View(
            vms=tuple(vm for vm in view.vms if told_vms.get(vm.vm) != vm),
            servers=tuple(s for s in view.servers if _differs(s, told_servers[s.backend_server])),
            config_revision=view.config_revision,
            is_delta=True,
        )


def _differs(state: ServerState, told: ServerState) -> bool:
    return state._replace(observed_at_ms=told.observed_at_ms) != told
