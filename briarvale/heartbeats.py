"""Heartbeats between VMs: one probe a second, indirect probes, and rumors piggybacked on both.

The cost for one VM does not depend on the size of the fleet: it sends one probe and answers about
one a second, and the rumors that these carry are bounded by a byte budget.
"""

import random
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from . import logs, metrics
from ._generated.messages import (
    Gossip,
    Message,
    Probe,
    ProbeAck,
    ProbeNack,
    ProbeRequest,
    ServerState,
    SuspectNotice,
    VmHealth,
    VmState,
)
from .containment import contain, keep_running, run_contained
from .crash_table import CrashNotice
from .datagrams import MAX_DATAGRAM_BYTES, TAG_BYTES, DatagramCodec
from .errors import PeerProtocolError
from .failure_detector import FailureDetector
from .notifier import Notifier
from .peer import PeerAddress
from .peer_environment import PeerEnvironment
from .rumors import FRESH_SENDS, AnyRumor, RumorBatch, RumorQueue, size_bytes
from .settings import Settings

PROBE_INTERVAL_MS = 1_000
DIRECT_TIMEOUT_S = 0.3
INDIRECT_TIMEOUT_S = 0.6
INDIRECT_PROBER_COUNT = 3
# One random dead VM is probed every this many intervals, so that its return is noticed.
DEAD_PROBE_TICKS = 2
# Intervals at which suspicions are checked for expiry: while there are suspects, and otherwise.
EXPIRE_INTERVAL_MS = 100
IDLE_INTERVAL_MS = 500
# A check that runs later than this shows that this process was paused, so that it may have missed
# answers.
PAUSE_THRESHOLD_MS = 700
PUSH_DELAY_S = 0.05
PUSH_FANOUT = FRESH_SENDS
RUMOR_BYTES_PER_S = 1_800.0
RUMOR_BURST_BYTES = 6_000.0
# Upper bound of an encoded message without states and rumors.
HEADER_BYTES = 160

log = logs.component_logger("heartbeats")

__all__ = ["RumorCallback", "Heartbeats"]

RumorCallback = Callable[[ServerState | SuspectNotice | CrashNotice], None]
RumorCarrier = Probe | ProbeAck | Gossip


class _PendingProbe:
    """A probe that awaits its acknowledgement.

    Attributes:
        is_nacked: Whether another VM that probed the target got no answer either.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.acked = anyio.Event()
        self.is_nacked = False


class _ByteBudget:
    """Token bucket for the bytes of rumors: a steady rate with a bounded burst."""

    def __init__(self) -> None:
        self._bytes = RUMOR_BURST_BYTES
        self._refilled_at_s = 0.0

    def available(self) -> int:
        """Returns the bytes that may be sent now."""
        now_s = anyio.current_time()
        gained = (now_s - self._refilled_at_s) * RUMOR_BYTES_PER_S
        self._bytes = min(RUMOR_BURST_BYTES, self._bytes + gained)
        self._refilled_at_s = now_s
        return int(self._bytes)

    def spend(self, size: int) -> None:
        """Deducts bytes that were sent."""
        self._bytes -= size


class Heartbeats:
    """Probes other VMs, answers their probes and exchanges rumors.

    Args:
        settings: This VM's settings.
        environment: External interfaces: clock, datagrams and the identity of this process.
        detector: Receives the states and the outcomes of probes.
        on_rumor: Called with each received rumor about a backend server or a request.
    """

    def __init__(
        self,
        settings: Settings,
        environment: PeerEnvironment,
        detector: FailureDetector,
        on_rumor: RumorCallback,
    ) -> None:
        self._settings = settings
        self._environment = environment
        self._detector = detector
        self._rumors = RumorQueue()
        self._on_rumor = on_rumor
        self._codec = DatagramCodec(settings.shared_secret)
        self._random = random.Random(environment.identity.boot_id)
        self._sequence = self._random.randrange(2**31)
        self._pending: dict[int, _PendingProbe] = {}
        self._budget = _ByteBudget()
        self._new_rumors = anyio.Event()
        self._tasks: TaskGroup | None = None
        self.config_revision = 0
        self.revision_received = Notifier()
        self.newest_known_revision: tuple[int, str] = (0, "")
        self._zone_probed_at_ms = 0

    async def run(self) -> None:
        """Serves and probes until cancelled."""
        address = PeerAddress(self._settings.host, self._settings.heartbeat_port)
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            datagrams = self._environment.datagrams
            tasks.start_soon(keep_running, "heartbeats", datagrams.serve, address, self._receive)
            tasks.start_soon(keep_running, "heartbeats", self._push_new_rumors)
            tasks.start_soon(keep_running, "heartbeats", self._expire_suspects)
            await keep_running("heartbeats", self._probe_each_tick, tasks)

    def announce(self, rumor: AnyRumor) -> None:
        """Spreads a rumor soon, before the next probe.

        If it makes a VM suspect, another VM of its availability zone is probed at once, as all VMs
        of a zone may fail together; at most one such probe starts in each interval.
        """
        self._rumors.put(rumor)
        self._new_rumors.set()
        if isinstance(rumor, VmState) and rumor.health is VmHealth.SUSPECT:
            self._probe_zone_peer(rumor.vm)

    async def announce_revision(self, revision: int) -> None:
        """Sends the revision in force here to some VMs at once; heartbeats carry it to the rest."""
        self.config_revision = revision
        await self.push_to(self._random_peers(PUSH_FANOUT))

    async def push_to(self, vms: list[str]) -> None:
        """Sends pending rumors to these VMs at once."""
        for vm in vms:
            await self._send_to(vm, self._gossip(vm))

    async def _probe_each_tick(self, tasks: TaskGroup) -> None:
        tick = 0
        while True:
            tick = max(tick, self._now_ms() // PROBE_INTERVAL_MS) + 1
            await self._environment.clock.sleep_until(tick * PROBE_INTERVAL_MS)
            target = self._detector.probe_target(tick)
            if target is not None:
                tasks.start_soon(run_contained, "heartbeats", self._probe, target)
            if tick % DEAD_PROBE_TICKS == 0:
                await self._probe_dead()

    async def _expire_suspects(self) -> None:
        while True:
            has_suspects = self._detector.has_suspects
            due_ms = self._now_ms() + (EXPIRE_INTERVAL_MS if has_suspects else IDLE_INTERVAL_MS)
            await self._environment.clock.sleep_until(due_ms)
            late_ms = self._now_ms() - due_ms
            if late_ms > PAUSE_THRESHOLD_MS:
                self._recover_from_pause(late_ms)
            self._detector.expire_suspects(self._now_ms())

    async def _probe(self, target: str) -> None:
        pending, sequence = self._register_probe(target)
        try:
            await self._send_to(target, self._probe_message(sequence, target))
            with anyio.move_on_after(DIRECT_TIMEOUT_S):
                await pending.acked.wait()
            if not pending.acked.is_set():
                await self._probe_indirectly(target, sequence, pending)
        finally:
            self._pending.pop(sequence, None)

    async def _probe_indirectly(self, target: str, sequence: int, pending: _PendingProbe) -> None:
        """Asks other VMs to probe a target that did not answer; suspects it if none reaches it."""
        probers = self._random_peers(INDIRECT_PROBER_COUNT, excluded=target)
        for prober in probers:
            request = ProbeRequest(sequence, self._settings.vm, target)
            await self._send_to(prober, request)
        with anyio.move_on_after(INDIRECT_TIMEOUT_S):
            await pending.acked.wait()
        if pending.acked.is_set() or sequence not in self._pending:
            return
        self._detector.suspect(target, self._now_ms(), is_local=not pending.is_nacked)
        await self._send_to(target, self._gossip(target))

    async def _probe_on_behalf(self, request: ProbeRequest, sender: PeerAddress) -> None:
        """Probes a target for a VM that got no answer from it, and reports the outcome."""
        pending, sequence = self._register_probe(request.target)
        try:
            await self._send_to(request.target, self._probe_message(sequence, request.target))
            with anyio.move_on_after(DIRECT_TIMEOUT_S):
                await pending.acked.wait()
        finally:
            self._pending.pop(sequence, None)
        if pending.acked.is_set():
            answer: Message = ProbeAck(request.sequence, request.target)
        else:
            answer = ProbeNack(request.sequence, self._settings.vm, request.target)
        await self._send(sender, answer)

    async def _probe_dead(self) -> None:
        target = self._detector.dead_probe_target(self._random)
        if target is not None:
            self._sequence += 1
            await self._send_to(target, self._probe_message(self._sequence, target))

    async def _push_new_rumors(self) -> None:
        while True:
            await self._new_rumors.wait()
            self._new_rumors = anyio.Event()
            await anyio.sleep(PUSH_DELAY_S * (1 + self._random.random()))
            if not self._rumors.has_fresh or self._budget.available() < RUMOR_BURST_BYTES / 2:
                continue
            await self.push_to(self._random_peers(PUSH_FANOUT))

    def _receive(self, data: bytes, sender: PeerAddress) -> None:
        try:
            message = self._codec.unpack(data)
        except PeerProtocolError as error:
            metrics.BAD_DATAGRAMS.inc({})
            log.debug("Dropped a datagram from {}: {}.", sender.host, error)
            return
        match message:
            case Probe(sequence=sequence, source=source, target=target):
                self._apply_rumors(message)
                if target == self._settings.vm:
                    self._start(self._send, sender, self._ack(sequence, source))
            case ProbeAck(sequence=sequence, source=source):
                self._apply_rumors(message)
                self._record_ack(sequence, source)
            case ProbeNack(sequence=sequence):
                if sequence in self._pending:
                    self._pending[sequence].is_nacked = True
            case ProbeRequest():
                self._start(self._probe_on_behalf, message, sender)
            case Gossip():
                self._apply_rumors(message)
            case _:
                metrics.BAD_DATAGRAMS.inc({})

    def _apply_rumors(self, message: RumorCarrier) -> None:
        now_ms = self._now_ms()
        for update in message.updates:
            self._detector.merge_update(update, now_ms)
        self._detector.record_contact(message.source, message.config_revision, now_ms)
        if message.config_revision > self.newest_known_revision[0]:
            self.newest_known_revision = (message.config_revision, message.source)
            self.revision_received.notify()
        for server in message.servers:
            self._on_rumor(server)
        for suspect in message.suspects:
            self._on_rumor(suspect)
        for crash in message.crashes:
            self._on_rumor(crash)
        for clearance in message.clearances:
            self._on_rumor(clearance)

    def _record_ack(self, sequence: int, source: str) -> None:
        pending = self._pending.get(sequence)
        if pending is not None and pending.target == source:
            pending.acked.set()

    def _probe_zone_peer(self, vm: str) -> None:
        now_ms = self._now_ms()
        candidate = self._detector.zone_peer(vm, self._random)
        if candidate is not None and now_ms >= self._zone_probed_at_ms + PROBE_INTERVAL_MS:
            self._zone_probed_at_ms = now_ms
            self._start(self._probe, candidate)

    def _register_probe(self, target: str) -> tuple[_PendingProbe, int]:
        self._sequence += 1
        pending = self._pending[self._sequence] = _PendingProbe(target)
        return pending, self._sequence

    def _recover_from_pause(self, late_ms: int) -> None:
        log.info("This process was paused for {} ms.", late_ms)
        self._pending.clear()
        self._detector.postpone_suspects(late_ms)

    def _probe_message(self, sequence: int, target: str) -> Probe:
        return Probe(
            sequence=sequence,
            source=self._settings.vm,
            target=target,
            config_revision=self.config_revision,
            **self._next_batch(target)._asdict(),
        )

    def _ack(self, sequence: int, receiver: str) -> ProbeAck:
        return ProbeAck(
            sequence=sequence,
            source=self._settings.vm,
            config_revision=self.config_revision,
            **self._next_batch(receiver)._asdict(),
        )

    def _gossip(self, receiver: str) -> Gossip:
        return Gossip(
            source=self._settings.vm,
            config_revision=self.config_revision,
            **self._next_batch(receiver)._asdict(),
        )

    def _next_batch(self, receiver: str) -> RumorBatch:
        """Returns this VM's state and the rumors that fit in a datagram and in the byte budget."""
        always = [self._detector.own._replace(config_revision=self.config_revision)]
        receiver_state = self._detector.state(receiver)
        if receiver_state is not None and receiver_state.health is not VmHealth.ALIVE:
            # Lets a receiver that counts as suspect, leaving or dead refute that.
            always.append(receiver_state)
        room_bytes = MAX_DATAGRAM_BYTES - TAG_BYTES - HEADER_BYTES - sum(map(size_bytes, always))
        room_bytes = min(room_bytes, self._budget.available())
        batch = self._rumors.next_batch(room_bytes, len(self._detector.probe_ring()))
        self._budget.spend(sum(size_bytes(rumor) for rumors in batch for rumor in rumors))
        return batch._replace(updates=(*always, *batch.updates))

    def _random_peers(self, count: int, excluded: str = "") -> list[str]:
        own = self._settings.vm
        peers = [vm for vm in self._detector.probe_ring() if vm not in (own, excluded)]
        return self._random.sample(peers, min(count, len(peers)))

    def _start(self, function: Callable[..., Awaitable[object]], *args: object) -> None:
        """Starts a task; ignored unless `run` is active."""
        if self._tasks is not None:
            self._tasks.start_soon(run_contained, "heartbeats", function, *args)

    async def _send_to(self, vm: str, message: Message) -> None:
        state = self._detector.state(vm)
        if state is not None:
            await self._send(PeerAddress(state.host, self._settings.heartbeat_port), message)

    async def _send(self, address: PeerAddress, message: Message) -> None:
        with contain("heartbeats"):
            await self._environment.datagrams.send(address, self._codec.pack(message))

    def _now_ms(self) -> int:
        return self._environment.clock.now_ms()


def first_incarnation(environment: PeerEnvironment) -> int:
    """Returns the incarnation of a process that starts now, higher than any before it."""
    return environment.clock.now_ms()


def own_state(settings: Settings, environment: PeerEnvironment) -> VmState:
    """Returns this VM's state at its start."""
    return VmState(
        settings.vm,
        settings.host,
        settings.region,
        settings.availability_zone,
        VmHealth.ALIVE,
        first_incarnation(environment),
    )
