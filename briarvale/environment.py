"""External interfaces of gateway, dispatcher, batch program and controller; tests use fakes."""

from contextlib import AsyncExitStack
from typing import NamedTuple, Protocol

import httpx

from .clock import Clock
from .config import BackendServer
from .datagrams import Datagrams, UdpDatagrams
from .engine_client import Engine, HttpEngine
from .http_object_store import HttpObjectStore
from .http_vm_list import HttpVmList
from .object_store import ObjectStore
from .peer import PeerIdentity, PeerTransport, TcpTransport
from .service_client import HttpPlainService, PlainService
from .settings import Settings
from .vm_list import VmList

MAX_CONNECTIONS = 2_000
KEEPALIVE_EXPIRY_S = 30.0

__all__ = [
    "BackendClients",
    "Environment",
    "HttpBackendClients",
    "backend_client",
    "open_environment",
]


class BackendClients(Protocol):
    """Provides the clients of backend servers."""

    def engine(self, server: BackendServer) -> Engine:
        """Returns the client of a model engine."""

    def plain_service(self, server: BackendServer) -> PlainService:
        """Returns the client of a plain service."""


class Environment(NamedTuple):
    """Clock, platform, backend servers and peers."""

    clock: Clock
    store: ObjectStore
    vm_list: VmList
    backends: BackendClients
    transport: PeerTransport
    datagrams: Datagrams
    identity: PeerIdentity


class HttpBackendClients:
    """Clients over HTTP.

    Args:
        client: HTTP client that reuses no connection; closed by the caller.
    """

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client

    def engine(self, server: BackendServer) -> Engine:
        """Returns the client of a model engine."""
        return HttpEngine(server.url, self._client)

    def plain_service(self, server: BackendServer) -> PlainService:
        """Returns the client of a plain service."""
        return HttpPlainService(server.url, self._client)


async def open_environment(
    settings: Settings, identity: PeerIdentity, stack: AsyncExitStack
) -> Environment:
    """Opens the production interfaces; `stack` closes them."""
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_CONNECTIONS,
        keepalive_expiry=KEEPALIVE_EXPIRY_S,
    )
    client = await stack.enter_async_context(backend_client())
    platform_client = await stack.enter_async_context(_client(limits))
    return Environment(
        clock=Clock.from_system(),
        store=HttpObjectStore(settings.object_api_url, platform_client),
        vm_list=HttpVmList(settings.vm_list_url, platform_client),
        backends=HttpBackendClients(client),
        transport=TcpTransport(identity, settings.shared_secret),
        datagrams=UdpDatagrams(),
        identity=identity,
    )


def backend_client() -> httpx.AsyncClient:
    """Returns an HTTP client for backend servers, which reuses no connection.

    Their answers state no request id, so on a connection in use again nothing would tell a second
    copy of an answer from the answer to the next request.
    """
    return _client(httpx.Limits(max_connections=MAX_CONNECTIONS, max_keepalive_connections=0))


def _client(limits: httpx.Limits) -> httpx.AsyncClient:
    return httpx.AsyncClient(limits=limits, trust_env=False)
