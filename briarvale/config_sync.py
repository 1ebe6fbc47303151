"""The configuration in force on one VM: a few VMs watch the store, the others fetch from peers.

Heartbeats announce new revisions. A VM only ever moves to a higher revision. A starting VM is ready
once it has asked peers and the store and has the highest revision that either reports.
"""

import random

import anyio

from . import logs, metrics
from ._generated.messages import ConfigBundle, ConfigFetch, VmHealth
from .config import Config
from .config_bundle import apply_delta, delta_since
from .config_head import HEAD_KEY, fetch_config
from .environment import Environment
from .errors import (
    BriarvaleError,
    ObjectNotFound,
    OwnerUnreachable,
    PeerClosed,
    PeerProtocolError,
    SettingsInvalid,
)
from .membership import Membership
from .notifier import Notifier
from .peer import ask_peer
from .rendezvous import first_by_rendezvous
from .settings import Settings

WATCHERS_PER_REGION = 2
WATCH_TIMEOUT_S = 25.0
WATCH_RETRY_S = 1.0
POLL_INTERVAL_S = 90.0
POLL_JITTER = 0.3
WATCHER_CHECK_INTERVAL_S = 1.0
PEERS_ASKED = 3
PEER_TIMEOUT_S = 2.0
MAX_CACHED_BUNDLES = 8

log = logs.component_logger("config")

__all__ = ["ConfigSync"]


class ConfigSync:
    """Keeps this VM's configuration at the newest revision.

    Args:
        settings: This VM's settings.
        environment: External interfaces: clock, store and connections to peers.
        membership: Sends and receives revision numbers with the heartbeats.
    """

    def __init__(
        self, settings: Settings, environment: Environment, membership: Membership
    ) -> None:
        self._settings = settings
        self._environment = environment
        self._membership = membership
        self._random = random.Random(environment.identity.boot_id)
        self._config: Config | None = None
        self._recent: dict[int, ConfigBundle] = {}
        self._changed = Notifier()
        self._has_fetched = False
        self._was_ready = False

    @property
    def config(self) -> Config | None:
        """The configuration in force; none before the first."""
        return self._config

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first."""
        return self._config.revision if self._config else 0

    @property
    def is_ready(self) -> bool:
        """Whether this VM has once had the highest known revision after asking peers and store."""
        newest, _ = self._membership.newest_revision
        if self._has_fetched and self.revision >= newest:
            self._was_ready = True
        return self._was_ready

    async def wait_changed(self) -> None:
        """Waits for the next revision."""
        await self._changed.wait()

    def apply_bundle(self, bundle: ConfigBundle) -> None:
        """Puts a newer bundle in force; a delta must be based on the revision in force."""
        if bundle.revision <= self.revision:
            return
        merged = apply_delta(self._config.bundle if self._config else None, bundle)
        if merged is None:
            log.info(
                "Can't apply revision {}: its delta is based on another revision.", bundle.revision
            )
            return
        try:
            self._put_in_force(Config(merged, self._config))
        except SettingsInvalid as error:
            metrics.CONFIG_REFUSED.inc({})
            log.error("Can't apply revision {}: {}.", bundle.revision, error)

    def bundle_for(self, peer_revision: int) -> ConfigBundle | None:
        """Returns what a peer at this revision lacks, as a delta if that revision is cached."""
        if self._config is None or self.revision <= peer_revision:
            return None
        base = self._recent.get(peer_revision)
        return delta_since(base, self._config.bundle) if base else self._config.bundle

    async def run(self) -> None:
        """Follows peers and store until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_heartbeats)
            tasks.start_soon(self._watch_store)
            tasks.start_soon(self._announce_revisions)
            await self._fetch_at_start()
            await self._poll_store()

    async def _fetch_at_start(self) -> None:
        while not self._membership.vms:
            await self._membership.wait_changed()
        while not self._has_fetched:
            await self._fetch_from_store()
            async with anyio.create_task_group() as tasks:
                for peer in self._membership.random_peers(PEERS_ASKED):
                    tasks.start_soon(self._fetch_from_peer, peer)
            self._has_fetched = self._config is not None
            if not self._has_fetched:
                await anyio.sleep(WATCH_RETRY_S)
        self._notify()

    async def _follow_heartbeats(self) -> None:
        while True:
            newest, vm = self._membership.newest_revision
            if newest <= self.revision:
                await self._membership.wait_newer_revision()
                continue
            await self._fetch_from_peer(vm)
            if self.revision < newest:
                await self._fetch_from_other_sources()
            if self.revision < newest:
                await anyio.sleep(WATCH_RETRY_S)

    async def _fetch_from_other_sources(self) -> None:
        newer_vms = [vm.vm for vm in self._membership.vms if vm.config_revision > self.revision]
        for peer in self._random.sample(newer_vms, min(PEERS_ASKED, len(newer_vms))):
            if await self._fetch_from_peer(peer):
                return
        await self._fetch_from_store()

    async def _watch_store(self) -> None:
        version = 0
        while True:
            if not self._is_watcher():
                version = 0
                await anyio.sleep(WATCHER_CHECK_INTERVAL_S)
                continue
            try:
                watch = self._environment.store.watch(HEAD_KEY, version, WATCH_TIMEOUT_S)
                result = await watch
                if result.keys or version == 0:
                    self._apply_config(await fetch_config(self._environment.store, self._config))
                version = result.version
            except ObjectNotFound:
                await anyio.sleep(WATCH_RETRY_S)
            except BriarvaleError as error:
                log.warning("Could not fetch the configuration from the store: {}.", error)
                version = 0
                await anyio.sleep(WATCH_RETRY_S * (0.5 + self._random.random()))

    async def _poll_store(self) -> None:
        while True:
            jitter = 1 + POLL_JITTER * (2 * self._random.random() - 1)
            await anyio.sleep(POLL_INTERVAL_S * jitter)
            if not self._is_watcher():
                await self._fetch_from_store()

    async def _announce_revisions(self) -> None:
        announced = 0
        while True:
            if announced < self.revision:
                announced = self.revision
                await self._membership.announce_revision(announced)
            else:
                await self._changed.wait()

    async def _fetch_from_store(self) -> None:
        try:
            self._apply_config(await fetch_config(self._environment.store, self._config))
        except BriarvaleError as error:
            log.info("Could not fetch the configuration from the store: {}.", error)

    async def _fetch_from_peer(self, vm: str) -> bool:
        address = self._membership.peer_address(vm)
        if address is None or vm == self._settings.vm:
            return False
        try:
            with anyio.fail_after(PEER_TIMEOUT_S):
                request = ConfigFetch(self.revision)
                transport = self._environment.transport
                bundle = await ask_peer(transport, address, request, ConfigBundle)
        except (OwnerUnreachable, PeerClosed, PeerProtocolError, TimeoutError) as error:
            log.info("Could not fetch the configuration from {}: {}.", vm, error)
            return False
        self.apply_bundle(bundle)
        return True

    def _is_watcher(self) -> bool:
        """Whether this VM is one of the VMs of its region that watch the store."""
        region_vms = [
            vm.vm
            for vm in self._membership.vms
            if vm.region == self._settings.region and vm.health is VmHealth.ALIVE
        ]
        watchers = first_by_rendezvous(HEAD_KEY, region_vms, WATCHERS_PER_REGION)
        return self._settings.vm in watchers

    def _apply_config(self, config: Config) -> None:
        if config.revision > self.revision:
            self._put_in_force(config)

    def _put_in_force(self, config: Config) -> None:
        self._config = config
        self._recent[config.revision] = config.bundle
        for revision in list(self._recent)[:-MAX_CACHED_BUNDLES]:
            del self._recent[revision]
        metrics.CONFIG_REVISION.set({}, config.revision)
        log.info("Configuration {} is in force.", config.revision)
        self._notify()

    def _notify(self) -> None:
        self._changed.notify()
