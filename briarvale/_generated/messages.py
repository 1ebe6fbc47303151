"""Generated from schema/messages.capnp by tools/generate.py. Do not edit."""

from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple

import capnp

capnp.remove_import_hook()

_SCHEMA_PATH = Path(__file__).parent.parent / "schema" / "messages.capnp"
_module = capnp.load(str(_SCHEMA_PATH))
_new_envelope = _module.Envelope.new_message
_from_bytes = _module.Envelope.from_bytes
# A list may claim any number of empty elements; reading it must cost what the bytes do.
MIN_TRAVERSED_WORDS, BYTES_PER_TRAVERSED_WORD = 1_024, 4
DECODING_ERRORS = (capnp.KjException, KeyError, RuntimeError, ValueError)


class WorkClass(StrEnum):
    """Values of WorkClass."""

    ONLINE = "online"
    BATCH = "batch"


class VmHealth(StrEnum):
    """Values of VmHealth."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"


class ServerHealth(StrEnum):
    """Values of ServerHealth."""

    READY = "ready"
    DRAINING = "draining"
    EJECTED = "ejected"
    DOWN = "down"


class Outcome(StrEnum):
    """Values of Outcome."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    FAILED = "failed"
    CRASHED = "crashed"
    REVOKED = "revoked"


class Challenge(NamedTuple):
    """The peer message Challenge."""

    nonce: bytes = b""


class Hello(NamedTuple):
    """The peer message Hello."""

    vm: str = ""
    role: str = ""
    boot_id: str = ""
    proof: bytes = b""


class Welcome(NamedTuple):
    """The peer message Welcome."""

    vm: str = ""


class SlotRequest(NamedTuple):
    """The peer message SlotRequest."""

    request_id: str = ""
    backend_server: str = ""
    member: str = ""
    work_class: WorkClass = WorkClass.ONLINE
    slot_count: int = 0
    cost_tokens: int = 0
    deadline_ms: int = 0
    fingerprint: str = ""
    start_by_ms: int = 0
    prompt_tokens: int = 0
    is_suspect: bool = False
    traceparent: str = ""
    prefix_ids: tuple[str, ...] = ()
    excluded: tuple[str, ...] = ()
    priority: int = 0
    availability_zone: str = ""
    worked_ms: int = 0
    prefix_tokens: tuple[int, ...] = ()
    output_tokens: int = 0


class SlotGrant(NamedTuple):
    """The peer message SlotGrant."""

    request_id: str = ""
    grant_id: str = ""
    backend_server: str = ""
    slot_count: int = 0
    expires_at_ms: int = 0
    held: int = 0
    queued: int = 0
    limit: int = 0


class SlotRefusal(NamedTuple):
    """The peer message SlotRefusal."""

    request_id: str = ""
    code: str = ""
    retry_at_ms: int = 0
    held: int = 0
    queued: int = 0
    limit: int = 0


class SlotWithdraw(NamedTuple):
    """The peer message SlotWithdraw."""

    request_id: str = ""


class SlotRevoke(NamedTuple):
    """The peer message SlotRevoke."""

    grant_id: str = ""
    slot_count: int = 0
    reason: str = ""


class SlotRelease(NamedTuple):
    """The peer message SlotRelease."""

    grant_id: str = ""
    outcome: Outcome = Outcome.FINISHED
    tokens: int = 0
    time_between_tokens_ms: int = 0
    backend_server: str = ""
    fingerprint: str = ""
    server_started_at_ms: int = 0
    is_server_draining: bool = False
    first_event_ms: int = 0
    last_event_ms: int = 0
    event_count: int = 0


class HeldGrant(NamedTuple):
    """The peer message HeldGrant."""

    grant_id: str = ""
    backend_server: str = ""
    member: str = ""
    work_class: WorkClass = WorkClass.ONLINE
    slot_count: int = 0
    cost_tokens: int = 0
    fingerprint: str = ""
    pool: str = ""


class HolderReport(NamedTuple):
    """The peer message HolderReport."""

    grants: tuple[HeldGrant, ...] = ()


class SlotHeartbeat(NamedTuple):
    """The peer message SlotHeartbeat."""

    sequence: int = 0


class VmState(NamedTuple):
    """The peer message VmState."""

    vm: str = ""
    host: str = ""
    region: str = ""
    availability_zone: str = ""
    health: VmHealth = VmHealth.ALIVE
    incarnation: int = 0
    config_revision: int = 0
    runs_batch: bool = False


class ServerState(NamedTuple):
    """The peer message ServerState."""

    backend_server: str = ""
    owner: str = ""
    health: ServerHealth = ServerHealth.READY
    streams: int = 0
    queued: int = 0
    limit: int = 0
    observed_at_ms: int = 0
    adapters: tuple[str, ...] = ()


class ViewSubscribe(NamedTuple):
    """The peer message ViewSubscribe."""

    role: str = ""


class View(NamedTuple):
    """The peer message View."""

    vms: tuple[VmState, ...] = ()
    servers: tuple[ServerState, ...] = ()
    config_revision: int = 0
    is_delta: bool = False


class ConfigFetch(NamedTuple):
    """The peer message ConfigFetch."""

    have_revision: int = 0


class ConfigDocument(NamedTuple):
    """The peer message ConfigDocument."""

    name: str = ""
    digest: str = ""
    body: bytes = b""


class ConfigBundle(NamedTuple):
    """The peer message ConfigBundle."""

    revision: int = 0
    documents: tuple[ConfigDocument, ...] = ()
    base_revision: int = 0
    removed: tuple[str, ...] = ()


class CrashSite(NamedTuple):
    """The peer message CrashSite."""

    backend_server: str = ""
    at_ms: int = 0
    began_at_ms: int = 0


class SuspectNotice(NamedTuple):
    """The peer message SuspectNotice."""

    fingerprint: str = ""
    crashes: int = 0
    quarantined: bool = False
    expires_at_ms: int = 0
    sites: tuple[CrashSite, ...] = ()
    cleared_at_ms: int = 0


class CrashReport(NamedTuple):
    """The peer message CrashReport."""

    backend_server: str = ""
    began_at_ms: int = 0
    at_ms: int = 0
    content_keys: tuple[int, ...] = ()


class ContentClearance(NamedTuple):
    """The peer message ContentClearance."""

    content_key: int = 0
    at_ms: int = 0


class Probe(NamedTuple):
    """The peer message Probe."""

    sequence: int = 0
    source: str = ""
    target: str = ""
    updates: tuple[VmState, ...] = ()
    config_revision: int = 0
    servers: tuple[ServerState, ...] = ()
    suspects: tuple[SuspectNotice, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    clearances: tuple[ContentClearance, ...] = ()


class ProbeAck(NamedTuple):
    """The peer message ProbeAck."""

    sequence: int = 0
    source: str = ""
    updates: tuple[VmState, ...] = ()
    config_revision: int = 0
    servers: tuple[ServerState, ...] = ()
    suspects: tuple[SuspectNotice, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    clearances: tuple[ContentClearance, ...] = ()


class ProbeRequest(NamedTuple):
    """The peer message ProbeRequest."""

    sequence: int = 0
    source: str = ""
    target: str = ""


class ProbeNack(NamedTuple):
    """The peer message ProbeNack."""

    sequence: int = 0
    source: str = ""
    target: str = ""


class Gossip(NamedTuple):
    """The peer message Gossip."""

    source: str = ""
    updates: tuple[VmState, ...] = ()
    config_revision: int = 0
    servers: tuple[ServerState, ...] = ()
    suspects: tuple[SuspectNotice, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    clearances: tuple[ContentClearance, ...] = ()


class StateFetch(NamedTuple):
    """The peer message StateFetch."""

    vm: str = ""


class StateSnapshot(NamedTuple):
    """The peer message StateSnapshot."""

    vms: tuple[VmState, ...] = ()
    servers: tuple[ServerState, ...] = ()
    suspects: tuple[SuspectNotice, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    clearances: tuple[ContentClearance, ...] = ()


class FeedRow(NamedTuple):
    """The peer message FeedRow."""

    name: str = ""
    value: bytes = b""
    revision: int = 0
    is_deleted: bool = False
    is_json: bool = False


class FeedSubscribe(NamedTuple):
    """The peer message FeedSubscribe."""

    kind: str = ""
    revision: int = 0
    number: int = 0


class FeedUpdate(NamedTuple):
    """The peer message FeedUpdate."""

    kind: str = ""
    revision: int = 0
    rows: tuple[FeedRow, ...] = ()
    number: int = 0


class FeedList(NamedTuple):
    """The peer message FeedList."""

    kind: str = ""
    number: int = 0


class FeedLost(NamedTuple):
    """The peer message FeedLost."""

    kind: str = ""
    number: int = 0


class FeedBeat(NamedTuple):
    """The peer message FeedBeat."""

    sequence: int = 0


class RateRequest(NamedTuple):
    """The peer message RateRequest."""

    request_id: int = 0
    group: int = 0
    workspace: str = ""
    token_count: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0
    config_version: int = 0
    is_delegating: bool = False
    is_tolerance: bool = False
    owner_epoch: int = 0
    stamp_ms: int = 0
    since_stamp_ms: int = 0


class RateAnswer(NamedTuple):
    """The peer message RateAnswer."""

    request_id: int = 0
    granted: int = 0
    retry_after_ms: int = 0
    is_partial: bool = False
    owner_epoch: int = 0
    stamp_ms: int = 0


Message = (
    Challenge
    | Hello
    | Welcome
    | SlotRequest
    | SlotGrant
    | SlotRefusal
    | SlotWithdraw
    | SlotRevoke
    | SlotRelease
    | HolderReport
    | ViewSubscribe
    | View
    | ConfigFetch
    | ConfigBundle
    | SuspectNotice
    | Probe
    | ProbeAck
    | ProbeRequest
    | ProbeNack
    | Gossip
    | StateFetch
    | StateSnapshot
    | SlotHeartbeat
    | FeedSubscribe
    | FeedUpdate
    | FeedLost
    | FeedBeat
    | FeedList
    | RateRequest
    | RateAnswer
)


def _read_challenge(reader: Any) -> Challenge:
    return Challenge(
        reader.nonce,
    )


def _write_challenge(builder: Any, message: Challenge) -> None:
    builder.nonce = message.nonce


def _read_hello(reader: Any) -> Hello:
    return Hello(
        reader.vm,
        reader.role,
        reader.bootId,
        reader.proof,
    )


def _write_hello(builder: Any, message: Hello) -> None:
    builder.vm = message.vm
    builder.role = message.role
    builder.bootId = message.boot_id
    builder.proof = message.proof


def _read_welcome(reader: Any) -> Welcome:
    return Welcome(
        reader.vm,
    )


def _write_welcome(builder: Any, message: Welcome) -> None:
    builder.vm = message.vm


def _read_slot_request(reader: Any) -> SlotRequest:
    return SlotRequest(
        reader.requestId,
        reader.backendServer,
        reader.member,
        WorkClass(str(reader.workClass)),
        reader.slotCount,
        reader.costTokens,
        reader.deadlineMs,
        reader.fingerprint,
        reader.startByMs,
        reader.promptTokens,
        reader.isSuspect,
        reader.traceparent,
        tuple(reader.prefixIds),
        tuple(reader.excluded),
        reader.priority,
        reader.availabilityZone,
        reader.workedMs,
        tuple(reader.prefixTokens),
        reader.outputTokens,
    )


def _write_slot_request(builder: Any, message: SlotRequest) -> None:
    builder.requestId = message.request_id
    builder.backendServer = message.backend_server
    builder.member = message.member
    builder.workClass = message.work_class.value
    builder.slotCount = message.slot_count
    builder.costTokens = message.cost_tokens
    builder.deadlineMs = message.deadline_ms
    builder.fingerprint = message.fingerprint
    builder.startByMs = message.start_by_ms
    builder.promptTokens = message.prompt_tokens
    builder.isSuspect = message.is_suspect
    builder.traceparent = message.traceparent
    builder.prefixIds = list(message.prefix_ids)
    builder.excluded = list(message.excluded)
    builder.priority = message.priority
    builder.availabilityZone = message.availability_zone
    builder.workedMs = message.worked_ms
    builder.prefixTokens = list(message.prefix_tokens)
    builder.outputTokens = message.output_tokens


def _read_slot_grant(reader: Any) -> SlotGrant:
    return SlotGrant(
        reader.requestId,
        reader.grantId,
        reader.backendServer,
        reader.slotCount,
        reader.expiresAtMs,
        reader.held,
        reader.queued,
        reader.limit,
    )


def _write_slot_grant(builder: Any, message: SlotGrant) -> None:
    builder.requestId = message.request_id
    builder.grantId = message.grant_id
    builder.backendServer = message.backend_server
    builder.slotCount = message.slot_count
    builder.expiresAtMs = message.expires_at_ms
    builder.held = message.held
    builder.queued = message.queued
    builder.limit = message.limit


def _read_slot_refusal(reader: Any) -> SlotRefusal:
    return SlotRefusal(
        reader.requestId,
        reader.code,
        reader.retryAtMs,
        reader.held,
        reader.queued,
        reader.limit,
    )


def _write_slot_refusal(builder: Any, message: SlotRefusal) -> None:
    builder.requestId = message.request_id
    builder.code = message.code
    builder.retryAtMs = message.retry_at_ms
    builder.held = message.held
    builder.queued = message.queued
    builder.limit = message.limit


def _read_slot_withdraw(reader: Any) -> SlotWithdraw:
    return SlotWithdraw(
        reader.requestId,
    )


def _write_slot_withdraw(builder: Any, message: SlotWithdraw) -> None:
    builder.requestId = message.request_id


def _read_slot_revoke(reader: Any) -> SlotRevoke:
    return SlotRevoke(
        reader.grantId,
        reader.slotCount,
        reader.reason,
    )


def _write_slot_revoke(builder: Any, message: SlotRevoke) -> None:
    builder.grantId = message.grant_id
    builder.slotCount = message.slot_count
    builder.reason = message.reason


def _read_slot_release(reader: Any) -> SlotRelease:
    return SlotRelease(
        reader.grantId,
        Outcome(str(reader.outcome)),
        reader.tokens,
        reader.timeBetweenTokensMs,
        reader.backendServer,
        reader.fingerprint,
        reader.serverStartedAtMs,
        reader.isServerDraining,
        reader.firstEventMs,
        reader.lastEventMs,
        reader.eventCount,
    )


def _write_slot_release(builder: Any, message: SlotRelease) -> None:
    builder.grantId = message.grant_id
    builder.outcome = message.outcome.value
    builder.tokens = message.tokens
    builder.timeBetweenTokensMs = message.time_between_tokens_ms
    builder.backendServer = message.backend_server
    builder.fingerprint = message.fingerprint
    builder.serverStartedAtMs = message.server_started_at_ms
    builder.isServerDraining = message.is_server_draining
    builder.firstEventMs = message.first_event_ms
    builder.lastEventMs = message.last_event_ms
    builder.eventCount = message.event_count


def _read_held_grant(reader: Any) -> HeldGrant:
    return HeldGrant(
        reader.grantId,
        reader.backendServer,
        reader.member,
        WorkClass(str(reader.workClass)),
        reader.slotCount,
        reader.costTokens,
        reader.fingerprint,
        reader.pool,
    )


def _write_held_grant(builder: Any, message: HeldGrant) -> None:
    builder.grantId = message.grant_id
    builder.backendServer = message.backend_server
    builder.member = message.member
    builder.workClass = message.work_class.value
    builder.slotCount = message.slot_count
    builder.costTokens = message.cost_tokens
    builder.fingerprint = message.fingerprint
    builder.pool = message.pool


def _read_holder_report(reader: Any) -> HolderReport:
    return HolderReport(
        tuple(_read_held_grant(item) for item in reader.grants),
    )


def _write_holder_report(builder: Any, message: HolderReport) -> None:
    grants = builder.init("grants", len(message.grants))
    for index, held_grant in enumerate(message.grants):
        _write_held_grant(grants[index], held_grant)


def _read_slot_heartbeat(reader: Any) -> SlotHeartbeat:
    return SlotHeartbeat(
        reader.sequence,
    )


def _write_slot_heartbeat(builder: Any, message: SlotHeartbeat) -> None:
    builder.sequence = message.sequence


def _read_vm_state(reader: Any) -> VmState:
    return VmState(
        reader.vm,
        reader.host,
        reader.region,
        reader.availabilityZone,
        VmHealth(str(reader.health)),
        reader.incarnation,
        reader.configRevision,
        reader.runsBatch,
    )


def _write_vm_state(builder: Any, message: VmState) -> None:
    builder.vm = message.vm
    builder.host = message.host
    builder.region = message.region
    builder.availabilityZone = message.availability_zone
    builder.health = message.health.value
    builder.incarnation = message.incarnation
    builder.configRevision = message.config_revision
    builder.runsBatch = message.runs_batch


def _read_server_state(reader: Any) -> ServerState:
    return ServerState(
        reader.backendServer,
        reader.owner,
        ServerHealth(str(reader.health)),
        reader.streams,
        reader.queued,
        reader.limit,
        reader.observedAtMs,
        tuple(reader.adapters),
    )


def _write_server_state(builder: Any, message: ServerState) -> None:
    builder.backendServer = message.backend_server
    builder.owner = message.owner
    builder.health = message.health.value
    builder.streams = message.streams
    builder.queued = message.queued
    builder.limit = message.limit
    builder.observedAtMs = message.observed_at_ms
    builder.adapters = list(message.adapters)


def _read_view_subscribe(reader: Any) -> ViewSubscribe:
    return ViewSubscribe(
        reader.role,
    )


def _write_view_subscribe(builder: Any, message: ViewSubscribe) -> None:
    builder.role = message.role


def _read_view(reader: Any) -> View:
    return View(
        tuple(_read_vm_state(item) for item in reader.vms),
        tuple(_read_server_state(item) for item in reader.servers),
        reader.configRevision,
        reader.isDelta,
    )


def _write_view(builder: Any, message: View) -> None:
    vms = builder.init("vms", len(message.vms))
    for index, vm_state in enumerate(message.vms):
        _write_vm_state(vms[index], vm_state)
    servers = builder.init("servers", len(message.servers))
    for index, server_state in enumerate(message.servers):
        _write_server_state(servers[index], server_state)
    builder.configRevision = message.config_revision
    builder.isDelta = message.is_delta


def _read_config_fetch(reader: Any) -> ConfigFetch:
    return ConfigFetch(
        reader.haveRevision,
    )


def _write_config_fetch(builder: Any, message: ConfigFetch) -> None:
    builder.haveRevision = message.have_revision


def _read_config_document(reader: Any) -> ConfigDocument:
    return ConfigDocument(
        reader.name,
        reader.digest,
        reader.body,
    )


def _write_config_document(builder: Any, message: ConfigDocument) -> None:
    builder.name = message.name
    builder.digest = message.digest
    builder.body = message.body


def _read_config_bundle(reader: Any) -> ConfigBundle:
    return ConfigBundle(
        reader.revision,
        tuple(_read_config_document(item) for item in reader.documents),
        reader.baseRevision,
        tuple(reader.removed),
    )


def _write_config_bundle(builder: Any, message: ConfigBundle) -> None:
    builder.revision = message.revision
    documents = builder.init("documents", len(message.documents))
    for index, config_document in enumerate(message.documents):
        _write_config_document(documents[index], config_document)
    builder.baseRevision = message.base_revision
    builder.removed = list(message.removed)


def _read_crash_site(reader: Any) -> CrashSite:
    return CrashSite(
        reader.backendServer,
        reader.atMs,
        reader.beganAtMs,
    )


def _write_crash_site(builder: Any, message: CrashSite) -> None:
    builder.backendServer = message.backend_server
    builder.atMs = message.at_ms
    builder.beganAtMs = message.began_at_ms


def _read_suspect_notice(reader: Any) -> SuspectNotice:
    return SuspectNotice(
        reader.fingerprint,
        reader.crashes,
        reader.quarantined,
        reader.expiresAtMs,
        tuple(_read_crash_site(item) for item in reader.sites),
        reader.clearedAtMs,
    )


def _write_suspect_notice(builder: Any, message: SuspectNotice) -> None:
    builder.fingerprint = message.fingerprint
    builder.crashes = message.crashes
    builder.quarantined = message.quarantined
    builder.expiresAtMs = message.expires_at_ms
    sites = builder.init("sites", len(message.sites))
    for index, crash_site in enumerate(message.sites):
        _write_crash_site(sites[index], crash_site)
    builder.clearedAtMs = message.cleared_at_ms


def _read_crash_report(reader: Any) -> CrashReport:
    return CrashReport(
        reader.backendServer,
        reader.beganAtMs,
        reader.atMs,
        tuple(reader.contentKeys),
    )


def _write_crash_report(builder: Any, message: CrashReport) -> None:
    builder.backendServer = message.backend_server
    builder.beganAtMs = message.began_at_ms
    builder.atMs = message.at_ms
    builder.contentKeys = list(message.content_keys)


def _read_content_clearance(reader: Any) -> ContentClearance:
    return ContentClearance(
        reader.contentKey,
        reader.atMs,
    )


def _write_content_clearance(builder: Any, message: ContentClearance) -> None:
    builder.contentKey = message.content_key
    builder.atMs = message.at_ms


def _read_probe(reader: Any) -> Probe:
    return Probe(
        reader.sequence,
        reader.source,
        reader.target,
        tuple(_read_vm_state(item) for item in reader.updates),
        reader.configRevision,
        tuple(_read_server_state(item) for item in reader.servers),
        tuple(_read_suspect_notice(item) for item in reader.suspects),
        tuple(_read_crash_report(item) for item in reader.crashes),
        tuple(_read_content_clearance(item) for item in reader.clearances),
    )


def _write_probe(builder: Any, message: Probe) -> None:
    builder.sequence = message.sequence
    builder.source = message.source
    builder.target = message.target
    updates = builder.init("updates", len(message.updates))
    for index, vm_state in enumerate(message.updates):
        _write_vm_state(updates[index], vm_state)
    builder.configRevision = message.config_revision
    servers = builder.init("servers", len(message.servers))
    for index, server_state in enumerate(message.servers):
        _write_server_state(servers[index], server_state)
    suspects = builder.init("suspects", len(message.suspects))
    for index, suspect_notice in enumerate(message.suspects):
        _write_suspect_notice(suspects[index], suspect_notice)
    crashes = builder.init("crashes", len(message.crashes))
    for index, crash_report in enumerate(message.crashes):
        _write_crash_report(crashes[index], crash_report)
    clearances = builder.init("clearances", len(message.clearances))
    for index, content_clearance in enumerate(message.clearances):
        _write_content_clearance(clearances[index], content_clearance)


def _read_probe_ack(reader: Any) -> ProbeAck:
    return ProbeAck(
        reader.sequence,
        reader.source,
        tuple(_read_vm_state(item) for item in reader.updates),
        reader.configRevision,
        tuple(_read_server_state(item) for item in reader.servers),
        tuple(_read_suspect_notice(item) for item in reader.suspects),
        tuple(_read_crash_report(item) for item in reader.crashes),
        tuple(_read_content_clearance(item) for item in reader.clearances),
    )


def _write_probe_ack(builder: Any, message: ProbeAck) -> None:
    builder.sequence = message.sequence
    builder.source = message.source
    updates = builder.init("updates", len(message.updates))
    for index, vm_state in enumerate(message.updates):
        _write_vm_state(updates[index], vm_state)
    builder.configRevision = message.config_revision
    servers = builder.init("servers", len(message.servers))
    for index, server_state in enumerate(message.servers):
        _write_server_state(servers[index], server_state)
    suspects = builder.init("suspects", len(message.suspects))
    for index, suspect_notice in enumerate(message.suspects):
        _write_suspect_notice(suspects[index], suspect_notice)
    crashes = builder.init("crashes", len(message.crashes))
    for index, crash_report in enumerate(message.crashes):
        _write_crash_report(crashes[index], crash_report)
    clearances = builder.init("clearances", len(message.clearances))
    for index, content_clearance in enumerate(message.clearances):
        _write_content_clearance(clearances[index], content_clearance)


def _read_probe_request(reader: Any) -> ProbeRequest:
    return ProbeRequest(
        reader.sequence,
        reader.source,
        reader.target,
    )


def _write_probe_request(builder: Any, message: ProbeRequest) -> None:
    builder.sequence = message.sequence
    builder.source = message.source
    builder.target = message.target


def _read_probe_nack(reader: Any) -> ProbeNack:
    return ProbeNack(
        reader.sequence,
        reader.source,
        reader.target,
    )


def _write_probe_nack(builder: Any, message: ProbeNack) -> None:
    builder.sequence = message.sequence
    builder.source = message.source
    builder.target = message.target


def _read_gossip(reader: Any) -> Gossip:
    return Gossip(
        reader.source,
        tuple(_read_vm_state(item) for item in reader.updates),
        reader.configRevision,
        tuple(_read_server_state(item) for item in reader.servers),
        tuple(_read_suspect_notice(item) for item in reader.suspects),
        tuple(_read_crash_report(item) for item in reader.crashes),
        tuple(_read_content_clearance(item) for item in reader.clearances),
    )


def _write_gossip(builder: Any, message: Gossip) -> None:
    builder.source = message.source
    updates = builder.init("updates", len(message.updates))
    for index, vm_state in enumerate(message.updates):
        _write_vm_state(updates[index], vm_state)
    builder.configRevision = message.config_revision
    servers = builder.init("servers", len(message.servers))
    for index, server_state in enumerate(message.servers):
        _write_server_state(servers[index], server_state)
    suspects = builder.init("suspects", len(message.suspects))
    for index, suspect_notice in enumerate(message.suspects):
        _write_suspect_notice(suspects[index], suspect_notice)
    crashes = builder.init("crashes", len(message.crashes))
    for index, crash_report in enumerate(message.crashes):
        _write_crash_report(crashes[index], crash_report)
    clearances = builder.init("clearances", len(message.clearances))
    for index, content_clearance in enumerate(message.clearances):
        _write_content_clearance(clearances[index], content_clearance)


def _read_state_fetch(reader: Any) -> StateFetch:
    return StateFetch(
        reader.vm,
    )


def _write_state_fetch(builder: Any, message: StateFetch) -> None:
    builder.vm = message.vm


def _read_state_snapshot(reader: Any) -> StateSnapshot:
    return StateSnapshot(
        tuple(_read_vm_state(item) for item in reader.vms),
        tuple(_read_server_state(item) for item in reader.servers),
        tuple(_read_suspect_notice(item) for item in reader.suspects),
        tuple(_read_crash_report(item) for item in reader.crashes),
        tuple(_read_content_clearance(item) for item in reader.clearances),
    )


def _write_state_snapshot(builder: Any, message: StateSnapshot) -> None:
    vms = builder.init("vms", len(message.vms))
    for index, vm_state in enumerate(message.vms):
        _write_vm_state(vms[index], vm_state)
    servers = builder.init("servers", len(message.servers))
    for index, server_state in enumerate(message.servers):
        _write_server_state(servers[index], server_state)
    suspects = builder.init("suspects", len(message.suspects))
    for index, suspect_notice in enumerate(message.suspects):
        _write_suspect_notice(suspects[index], suspect_notice)
    crashes = builder.init("crashes", len(message.crashes))
    for index, crash_report in enumerate(message.crashes):
        _write_crash_report(crashes[index], crash_report)
    clearances = builder.init("clearances", len(message.clearances))
    for index, content_clearance in enumerate(message.clearances):
        _write_content_clearance(clearances[index], content_clearance)


def _read_feed_row(reader: Any) -> FeedRow:
    return FeedRow(
        reader.name,
        reader.value,
        reader.revision,
        reader.isDeleted,
        reader.isJson,
    )


def _write_feed_row(builder: Any, message: FeedRow) -> None:
    builder.name = message.name
    builder.value = message.value
    builder.revision = message.revision
    builder.isDeleted = message.is_deleted
    builder.isJson = message.is_json


def _read_feed_subscribe(reader: Any) -> FeedSubscribe:
    return FeedSubscribe(
        reader.kind,
        reader.revision,
        reader.number,
    )


def _write_feed_subscribe(builder: Any, message: FeedSubscribe) -> None:
    builder.kind = message.kind
    builder.revision = message.revision
    builder.number = message.number


def _read_feed_update(reader: Any) -> FeedUpdate:
    return FeedUpdate(
        reader.kind,
        reader.revision,
        tuple(_read_feed_row(item) for item in reader.rows),
        reader.number,
    )


def _write_feed_update(builder: Any, message: FeedUpdate) -> None:
    builder.kind = message.kind
    builder.revision = message.revision
    rows = builder.init("rows", len(message.rows))
    for index, feed_row in enumerate(message.rows):
        _write_feed_row(rows[index], feed_row)
    builder.number = message.number


def _read_feed_list(reader: Any) -> FeedList:
    return FeedList(
        reader.kind,
        reader.number,
    )


def _write_feed_list(builder: Any, message: FeedList) -> None:
    builder.kind = message.kind
    builder.number = message.number


def _read_feed_lost(reader: Any) -> FeedLost:
    return FeedLost(
        reader.kind,
        reader.number,
    )


def _write_feed_lost(builder: Any, message: FeedLost) -> None:
    builder.kind = message.kind
    builder.number = message.number


def _read_feed_beat(reader: Any) -> FeedBeat:
    return FeedBeat(
        reader.sequence,
    )


def _write_feed_beat(builder: Any, message: FeedBeat) -> None:
    builder.sequence = message.sequence


def _read_rate_request(reader: Any) -> RateRequest:
    return RateRequest(
        reader.requestId,
        reader.group,
        reader.workspace,
        reader.tokenCount,
        reader.ratePerS,
        reader.burst,
        reader.configVersion,
        reader.isDelegating,
        reader.isTolerance,
        reader.ownerEpoch,
        reader.stampMs,
        reader.sinceStampMs,
    )


def _write_rate_request(builder: Any, message: RateRequest) -> None:
    builder.requestId = message.request_id
    builder.group = message.group
    builder.workspace = message.workspace
    builder.tokenCount = message.token_count
    builder.ratePerS = message.rate_per_s
    builder.burst = message.burst
    builder.configVersion = message.config_version
    builder.isDelegating = message.is_delegating
    builder.isTolerance = message.is_tolerance
    builder.ownerEpoch = message.owner_epoch
    builder.stampMs = message.stamp_ms
    builder.sinceStampMs = message.since_stamp_ms


def _read_rate_answer(reader: Any) -> RateAnswer:
    return RateAnswer(
        reader.requestId,
        reader.granted,
        reader.retryAfterMs,
        reader.isPartial,
        reader.ownerEpoch,
        reader.stampMs,
    )


def _write_rate_answer(builder: Any, message: RateAnswer) -> None:
    builder.requestId = message.request_id
    builder.granted = message.granted
    builder.retryAfterMs = message.retry_after_ms
    builder.isPartial = message.is_partial
    builder.ownerEpoch = message.owner_epoch
    builder.stampMs = message.stamp_ms


_WRITERS: dict[type, tuple[str, Any]] = {
    Challenge: ("challenge", _write_challenge),
    Hello: ("hello", _write_hello),
    Welcome: ("welcome", _write_welcome),
    SlotRequest: ("slotRequest", _write_slot_request),
    SlotGrant: ("slotGrant", _write_slot_grant),
    SlotRefusal: ("slotRefusal", _write_slot_refusal),
    SlotWithdraw: ("slotWithdraw", _write_slot_withdraw),
    SlotRevoke: ("slotRevoke", _write_slot_revoke),
    SlotRelease: ("slotRelease", _write_slot_release),
    HolderReport: ("holderReport", _write_holder_report),
    ViewSubscribe: ("viewSubscribe", _write_view_subscribe),
    View: ("view", _write_view),
    ConfigFetch: ("configFetch", _write_config_fetch),
    ConfigBundle: ("configBundle", _write_config_bundle),
    SuspectNotice: ("suspectNotice", _write_suspect_notice),
    Probe: ("probe", _write_probe),
    ProbeAck: ("probeAck", _write_probe_ack),
    ProbeRequest: ("probeRequest", _write_probe_request),
    ProbeNack: ("probeNack", _write_probe_nack),
    Gossip: ("gossip", _write_gossip),
    StateFetch: ("stateFetch", _write_state_fetch),
    StateSnapshot: ("stateSnapshot", _write_state_snapshot),
    SlotHeartbeat: ("slotHeartbeat", _write_slot_heartbeat),
    FeedSubscribe: ("feedSubscribe", _write_feed_subscribe),
    FeedUpdate: ("feedUpdate", _write_feed_update),
    FeedLost: ("feedLost", _write_feed_lost),
    FeedBeat: ("feedBeat", _write_feed_beat),
    FeedList: ("feedList", _write_feed_list),
    RateRequest: ("rateRequest", _write_rate_request),
    RateAnswer: ("rateAnswer", _write_rate_answer),
}
_READERS: dict[str, Any] = {
    "challenge": _read_challenge,
    "hello": _read_hello,
    "welcome": _read_welcome,
    "slotRequest": _read_slot_request,
    "slotGrant": _read_slot_grant,
    "slotRefusal": _read_slot_refusal,
    "slotWithdraw": _read_slot_withdraw,
    "slotRevoke": _read_slot_revoke,
    "slotRelease": _read_slot_release,
    "holderReport": _read_holder_report,
    "viewSubscribe": _read_view_subscribe,
    "view": _read_view,
    "configFetch": _read_config_fetch,
    "configBundle": _read_config_bundle,
    "suspectNotice": _read_suspect_notice,
    "probe": _read_probe,
    "probeAck": _read_probe_ack,
    "probeRequest": _read_probe_request,
    "probeNack": _read_probe_nack,
    "gossip": _read_gossip,
    "stateFetch": _read_state_fetch,
    "stateSnapshot": _read_state_snapshot,
    "slotHeartbeat": _read_slot_heartbeat,
    "feedSubscribe": _read_feed_subscribe,
    "feedUpdate": _read_feed_update,
    "feedLost": _read_feed_lost,
    "feedBeat": _read_feed_beat,
    "feedList": _read_feed_list,
    "rateRequest": _read_rate_request,
    "rateAnswer": _read_rate_answer,
}


def encode_message(message: Message) -> bytes:
    """Encodes a message in its envelope."""
    envelope = _new_envelope()
    field, write = _WRITERS[type(message)]
    write(envelope.init(field), message)
    data: bytes = envelope.to_bytes()
    return data


def decode_message(data: bytes) -> Message:
    """Decodes an envelope; see `DECODING_ERRORS` for what bad input raises."""
    limit = MIN_TRAVERSED_WORDS + len(data) // BYTES_PER_TRAVERSED_WORD
    with _from_bytes(data, traversal_limit_in_words=limit) as envelope:
        field = envelope.which()
        message: Message = _READERS[str(field)](getattr(envelope, str(field)))
        return message
