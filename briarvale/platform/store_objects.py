"""Decodes backend servers' entries, and names the kinds of the store that others write."""

from typing import Annotated, Literal

import msgspec

from .. import logs
from ..errors import DocumentInvalid
from ..live_servers import LiveServer
from ..peer_address import MAX_PORT, PeerAddress
from ..strict_json import HOST_NAME_PATTERN, Label, NonEmptyLabel, convert_value

CONFIG_KIND = "config"
CONFIG_NAME = "main"
SERVERS_KIND = "servers"
RETIREMENTS_KIND = "retirements"
# Kinds that operators and backend servers write; all others hold Briarvale's own values.
FOREIGN_KINDS = frozenset((CONFIG_KIND, SERVERS_KIND, RETIREMENTS_KIND))

# Peer messages hold timestamps as unsigned 64-bit integers.
MAX_TIMESTAMP_MS = 2**63 - 1
MAX_SLOTS = 65_535
MAX_REASON_LENGTH = 200

log = logs.component_logger("servers")

__all__ = [
    "CONFIG_KIND",
    "CONFIG_NAME",
    "FOREIGN_KINDS",
    "RETIREMENTS_KIND",
    "SERVERS_KIND",
    "server_from",
]


# Ids of servers are sent in a header.
ServerId = Annotated[str, msgspec.Meta(max_length=255, pattern=r"^[!-~]+\Z")]
Address = Annotated[
    str, msgspec.Meta(max_length=261, pattern=rf"^{HOST_NAME_PATTERN}:[0-9]{{1,5}}\Z")
]


class _ServerEntry(msgspec.Struct):
    """The entry of a backend server; `born` is the Unix time of its start in milliseconds."""

    service: NonEmptyLabel
    address: Address
    state: Literal["ready", "draining"]
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    zone: Label = ""
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_TIMESTAMP_MS)] = 0


def server_from(name: str, spec: object) -> LiveServer | None:
    """Decodes a backend server's entry; logs an invalid entry and returns none.

    Args:
        name: Name of the entry, which is the server's id.
        spec: Decoded JSON value of the entry.
    """
    try:
        return _decode_server(name, spec)
    except DocumentInvalid as error:
        log.warning(
            "Ignored the invalid entry {} of a backend server.",
            name,
            backend_server=name,
            reason=str(error)[:MAX_REASON_LENGTH],
        )
        return None


def _decode_server(name: str, spec: object) -> LiveServer:
    server_id = convert_value(name, ServerId)
    entry = convert_value(spec, _ServerEntry)
    host, _, port = entry.address.rpartition(":")
    if not 0 < int(port) <= MAX_PORT:
        raise DocumentInvalid(f"address: the port is out of range: {port}")
    return LiveServer(
        id=server_id,
        service=entry.service,
        address=PeerAddress(host, int(port)),
        availability_zone=entry.zone,
        slots=entry.slots,
        is_draining=entry.state == "draining",
        started_at_ms=entry.born,
    )
