"""Health of backend servers: what this owner observes and what other owners publish."""

import random
from collections.abc import Callable, Iterable

import anyio
from anyio.abc import TaskGroup

from . import logs, metrics
from ._generated.messages import ServerHealth, ServerState, SlotRelease
from .clock import MS_PER_S
from .config import BackendServer, Config
from .engine_client import Completion, Engine, EngineLoad
from .environment import Environment
from .errors import BriarvaleError
from .notifier import Notifier
from .outliers import (
    SLOW_FACTOR,
    TOKEN_TARGET_MS,
    OutcomeWindow,
    StreamOutcome,
    ejectable_count,
)

CHECK_INTERVAL_S = 1.0
CHECK_JITTER_FRACTION = 0.25
RECHECK_INTERVAL_S = 0.2
CHECK_TIMEOUT_S = 1.0
MAX_FAILED_CHECKS = 2
# Doubles with each further ejection or failed trial, up to `MAX_EJECTION_MS`.
FIRST_EJECTION_MS = 5_000
MAX_EJECTION_MS = 60_000
TRIAL_TIMEOUT_S = 2.0
TRIAL_TOKENS = 4
EJECTION_COUNT_RESET_MS = 60_000

log = logs.component_logger("health")

__all__ = ["ServerHealthMonitor"]


class _HealthRecord:
    """What this dispatcher knows about one backend server."""

    def __init__(self) -> None:
        self.health = ServerHealth.READY
        self.changed_at_ms = 0
        self.adapters: tuple[str, ...] = ()
        self.version = ""
        self.window = OutcomeWindow()
        self.failed_checks = 0
        self.ejections = 0
        self.trial_at_ms = 0


class ServerHealthMonitor:
    """Tracks which backend servers may get new work.

    The owner of a backend server polls it and records how streams on it ended. It publishes each
    change of health with a timestamp; of two changes of the same server, the later one wins.

    Args:
        environment: The outside interfaces.
        owned: Returns the backend servers that this dispatcher owns now.
        config: Returns the current configuration, or none before the first one.
        leaving_vms: Returns the names of VMs that the VM list reports as leaving.
        publish: Publishes a changed state to the other dispatchers.
    """

    def __init__(
        self,
        environment: Environment,
        owned: Callable[[], Iterable[BackendServer]],
        config: Callable[[], Config | None],
        leaving_vms: Callable[[], frozenset[str]],
        publish: Callable[[ServerState], None],
    ) -> None:
        self._environment = environment
        self._owned = owned
        self._config = config
        self._leaving_vms = leaving_vms
        self._publish = publish
        self._random = random.Random(environment.identity.boot_id)
        self._records: dict[str, _HealthRecord] = {}
        self._checks: dict[str, anyio.CancelScope] = {}
        self._changed = Notifier()
        self._leaving: frozenset[str] = frozenset()

    def health(self, backend_server: str) -> ServerHealth:
        """Returns the last known health."""
        # The VM list names the VM of a backend server by the server's id.
        if backend_server in self._leaving:
            return ServerHealth.DRAINING
        record = self._records.get(backend_server)
        health = record.health if record else ServerHealth.READY
        if health is ServerHealth.EJECTED and not self._may_be_ejected(backend_server):
            return ServerHealth.READY
        return health

    def adapters(self, backend_server: str) -> tuple[str, ...]:
        """Returns the adapters that the server had loaded when last checked."""
        record = self._records.get(backend_server)
        return record.adapters if record else ()

    def accepts_work(self, backend_server: str) -> bool:
        """Whether new work may start there; an ejected server gets it only if no other is ready."""
        return self.health(backend_server) in (ServerHealth.READY, ServerHealth.EJECTED)

    async def wait_changed(self) -> None:
        """Waits until the health of any server changes."""
        await self._changed.wait()

    def apply_rumor(self, state: ServerState) -> None:
        """Applies a state published by another owner, unless a later one is known."""
        record = self._record_of(state.backend_server)
        if state.observed_at_ms <= record.changed_at_ms:
            return
        record.changed_at_ms = state.observed_at_ms
        record.health, record.adapters = state.health, state.adapters
        self._limit_ejections(state.backend_server)
        self._notify()

    def record_release(self, release: SlotRelease) -> None:
        """Records how a stream on an owned backend server ended; may eject the server."""
        record = self._record_of(release.backend_server)
        now_ms = self._environment.clock.now_ms()
        token_interval_ms = release.time_between_tokens_ms
        record.window.add(StreamOutcome(now_ms, release.outcome, token_interval_ms))
        server = next((s for s in self._owned() if s.id == release.backend_server), None)
        if server is None or record.health is not ServerHealth.READY:
            return
        if record.window.is_failing(now_ms):
            self._eject(server, record, "errors")
        elif record.window.is_slow(self._other_medians_ms(server), now_ms):
            self._eject(server, record, "time between tokens")

    async def run(self) -> None:
        """Checks owned backend servers until cancelled, one task for each."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._update_checks(tasks)
                self._update_leaving()
                await anyio.sleep(RECHECK_INTERVAL_S)

    def _update_checks(self, tasks: TaskGroup) -> None:
        owned = {server.id: server for server in self._owned()}
        for name in self._checks.keys() - owned.keys():
            self._checks.pop(name).cancel()
        for name in owned.keys() - self._checks.keys():
            self._checks[name] = anyio.CancelScope()
            tasks.start_soon(self._check_until_cancelled, owned[name], self._checks[name])

    def _update_leaving(self) -> None:
        leaving = self._leaving_vms()
        if leaving != self._leaving:
            self._leaving = leaving
            self._notify()

    async def _check_until_cancelled(self, server: BackendServer, scope: anyio.CancelScope) -> None:
        with scope:
            while True:
                is_conclusive = await self._check(server)
                jitter = 1 + CHECK_JITTER_FRACTION * (2 * self._random.random() - 1)
                await anyio.sleep(
                    CHECK_INTERVAL_S * jitter if is_conclusive else RECHECK_INTERVAL_S
                )

    async def _check(self, server: BackendServer) -> bool:
        """Checks once; returns false if the next check must follow sooner than usual."""
        record = self._record_of(server.id)
        if self._model_of(server) is None:
            self._end_expired_ejection(server, record)
            return True
        engine = self._environment.backends.engine(server)
        try:
            with anyio.fail_after(CHECK_TIMEOUT_S):
                load = await engine.load()
        except (BriarvaleError, TimeoutError) as error:
            record.failed_checks += 1
            if record.failed_checks >= MAX_FAILED_CHECKS:
                self._set_health(server.id, ServerHealth.DOWN, str(error) or "no answer")
                return True
            return False
        record.failed_checks = 0
        await self._apply_load(server, record, engine, load)
        return True

    async def _apply_load(
        self, server: BackendServer, record: _HealthRecord, engine: Engine, load: EngineLoad
    ) -> None:
        """Updates a server's adapters and health from its answer to a check."""
        if load.adapters != record.adapters:
            record.adapters = load.adapters
            self._publish_state(server.id)
        if load.is_draining:
            self._set_health(server.id, ServerHealth.DRAINING, "it reports that it is draining")
        elif not self._has_weights(server, record, load):
            self._set_health(
                server.id, ServerHealth.DOWN, f"it has loaded {load.model or 'no model'}"
            )
        elif record.health is ServerHealth.DRAINING:
            self._set_health(
                server.id, ServerHealth.READY, "it no longer reports that it is draining"
            )
        elif record.health is not ServerHealth.READY:
            await self._attempt_recovery(server, record, engine)

    def _has_weights(self, server: BackendServer, record: _HealthRecord, load: EngineLoad) -> bool:
        """Whether the server has the declared model, in the declared or the last accepted version.

        A new version is declared for all servers at once, but they load it one after the other. So
        a server keeps its work when only the declared version changes, and loses it when it loads
        a version other than these two.
        """
        model, version = self._model_of(server) or ("", "")
        accepted_versions = (version, record.version or load.version)
        if load.model != model or load.version not in accepted_versions:
            return False
        record.version = load.version
        return True

    async def _attempt_recovery(
        self, server: BackendServer, record: _HealthRecord, engine: Engine
    ) -> None:
        """Sends a small trial request to a down or ejected server; if it succeeds, it is ready."""
        now_ms = self._environment.clock.now_ms()
        if record.health is ServerHealth.EJECTED and now_ms < record.trial_at_ms:
            return
        if await self._run_trial(server, engine):
            record.window.clear()
            self._set_health(server.id, ServerHealth.READY, "the trial request succeeded")
        elif record.health is ServerHealth.EJECTED:
            self._postpone_trial(record)

    async def _run_trial(self, server: BackendServer, engine: Engine) -> bool:
        model = self._model_of(server)
        trial_id = f"trial-{server.id}-{self._random.getrandbits(32):08x}"
        trial = Completion(trial_id, model[0] if model else "", "trial", TRIAL_TOKENS)
        stream = engine.complete(trial)
        try:
            with anyio.fail_after(TRIAL_TIMEOUT_S):
                arrived_s = [anyio.current_time() async for _ in stream]
            token_interval_ms = (arrived_s[-1] - arrived_s[0]) * MS_PER_S / (TRIAL_TOKENS - 1)
            return (
                len(arrived_s) == TRIAL_TOKENS
                and token_interval_ms <= SLOW_FACTOR * TOKEN_TARGET_MS
            )
        except (BriarvaleError, TimeoutError, IndexError):
            return False
        finally:
            with anyio.move_on_after(CHECK_TIMEOUT_S, shield=True):
                await stream.aclose()  # type: ignore[attr-defined]

    def _eject(self, server: BackendServer, record: _HealthRecord, reason: str) -> None:
        if len(self._ejected(server.service)) >= self._max_ejected(server.service):
            log.warning("Did not eject {} for {}: too many servers are ejected.", server.id, reason)
            return
        if self._environment.clock.now_ms() - record.changed_at_ms > EJECTION_COUNT_RESET_MS:
            record.ejections = 0
        self._postpone_trial(record)
        metrics.EJECTIONS.inc({"backend_server": server.id, "reason": reason})
        self._set_health(server.id, ServerHealth.EJECTED, reason)

    def _postpone_trial(self, record: _HealthRecord) -> None:
        ejection_ms = min(FIRST_EJECTION_MS * 2**record.ejections, MAX_EJECTION_MS)
        record.trial_at_ms = self._environment.clock.now_ms() + ejection_ms
        record.ejections += 1

    def _end_expired_ejection(self, server: BackendServer, record: _HealthRecord) -> None:
        """Ends a plain service's ejection when its time is over; its calls can't be trials."""
        now_ms = self._environment.clock.now_ms()
        if record.health is ServerHealth.EJECTED and now_ms >= record.trial_at_ms:
            record.window.clear()
            self._set_health(server.id, ServerHealth.READY, "the ejection has expired")

    def _may_be_ejected(self, backend_server: str) -> bool:
        """Whether an ejection is within the limit, which two owners together may exceed."""
        config = self._config()
        server = config.servers.get(backend_server) if config else None
        if server is None:
            return False
        return backend_server in self._ejected(server.service)[: self._max_ejected(server.service)]

    def _limit_ejections(self, backend_server: str) -> None:
        """Ends ejections of owned servers beyond the limit."""
        config = self._config()
        server = config.servers.get(backend_server) if config else None
        if server is None:
            return
        owned_ids = {server.id for server in self._owned()}
        for name in self._ejected(server.service)[self._max_ejected(server.service) :]:
            if name in owned_ids:
                self._set_health(name, ServerHealth.READY, "too many servers are ejected")

    def _ejected(self, service: str) -> list[str]:
        """Returns a service's ejected servers, earliest first, in the same order at all owners."""
        config = self._config()
        names = [server.id for server in config.servers_of(service)] if config else []
        ejected = [name for name in names if self._record_of(name).health is ServerHealth.EJECTED]
        return sorted(ejected, key=lambda name: (self._records[name].changed_at_ms, name))

    def _max_ejected(self, service: str) -> int:
        config = self._config()
        return ejectable_count(len(config.servers_of(service))) if config else 0

    def _other_medians_ms(self, server: BackendServer) -> list[float]:
        """Returns the median time between tokens of each other owned server of the service."""
        now_ms = self._environment.clock.now_ms()
        others = [s.id for s in self._owned() if s.service == server.service and s != server]
        medians_ms = [
            self._record_of(name).window.median_time_between_tokens_ms(now_ms) for name in others
        ]
        return [median_ms for median_ms in medians_ms if median_ms is not None]

    def _model_of(self, server: BackendServer) -> tuple[str, str] | None:
        """Returns the declared model and version of the server; none for a plain service."""
        config = self._config()
        service = config.services.get(server.service) if config else None
        model = config.models.get(service.model) if config and service else None
        return (model.id, model.version) if model else None

    def _record_of(self, backend_server: str) -> _HealthRecord:
        return self._records.setdefault(backend_server, _HealthRecord())

    def _set_health(self, backend_server: str, health: ServerHealth, reason: str) -> None:
        record = self._record_of(backend_server)
        if record.health is health:
            return
        log.info("{} is {}: {}.", backend_server, health.value, reason)
        record.health = health
        self._publish_state(backend_server)

    def _publish_state(self, backend_server: str) -> None:
        record = self._record_of(backend_server)
        record.changed_at_ms = max(self._environment.clock.now_ms(), record.changed_at_ms + 1)
        self._publish(
            ServerState(
                backend_server=backend_server,
                owner=self._environment.identity.vm,
                health=record.health,
                observed_at_ms=record.changed_at_ms,
                adapters=record.adapters,
            )
        )
        self._notify()

    def _notify(self) -> None:
        for health in ServerHealth:
            count = sum(record.health is health for record in self._records.values())
            metrics.SERVERS.set({"health": health.value}, count)
        self._changed.notify()
