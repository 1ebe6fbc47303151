"""A VM's external interfaces with faults: frozen, cut off from the Object API, or dead."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeVar

import anyio

from ..config import BackendServer
from ..engine_client import Completion, Engine, Token
from ..environment import BackendClients
from ..errors import ServerLost, StoreUnavailable
from ..object_store import ObjectStore, StoredObject, WatchResult
from ..service_client import PlainService

CUT_TIMEOUT_S = 5.0

T = TypeVar("T")

__all__ = ["FaultyBackends", "FaultyStore", "VmFaults"]


class VmFaults:
    """Fault switches of one VM; all off at the start.

    Attributes:
        is_cut: Whether the Object API is unreachable from the VM.
        is_dead: Whether the VM's calls and streams fail, as if it had lost power.
    """

    def __init__(self) -> None:
        self.is_cut = False
        self.is_dead = False
        self._thawed = anyio.Event()
        self._thawed.set()

    @property
    def is_frozen(self) -> bool:
        """Whether the VM's processes are paused."""
        return not self._thawed.is_set()

    def freeze(self) -> None:
        """Holds back all calls and results at the VM's interfaces from now on."""
        if not self.is_frozen:
            self._thawed = anyio.Event()

    def thaw(self) -> None:
        """Ends the pause."""
        self._thawed.set()

    async def wait_thawed(self) -> None:
        """Waits until the VM is not frozen."""
        while self.is_frozen:
            await self._thawed.wait()


class FaultyStore:
    """Implements `ObjectStore` for one VM.

    Args:
        store: The Object API that all VMs share.
        faults: The VM's fault switches.
    """

    def __init__(self, store: ObjectStore, faults: VmFaults) -> None:
        self._store = store
        self._faults = faults

    async def get(self, key: str) -> StoredObject:
        """Reads one object."""
        return await self._call(self._store.get, key)

    async def create(self, key: str, value: bytes) -> int:
        """Creates an object."""
        return await self._call(self._store.create, key, value)

    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replaces an object."""
        return await self._call(self._store.update, key, value, version)

    async def delete(self, key: str, version: int | None = None) -> None:
        """Deletes an object."""
        await self._call(self._store.delete, key, version)

    async def list_keys(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Lists keys."""
        return await self._call(self._store.list_keys, prefix, after, limit)

    async def watch(self, prefix: str, after_version: int, timeout_s: float) -> WatchResult:
        """Waits for writes under a prefix after a version."""
        return await self._call(self._store.watch, prefix, after_version, timeout_s)

    async def _call(self, function: Callable[..., Awaitable[T]], *args: object) -> T:
        await self._faults.wait_thawed()
        await self._fail_if_unreachable()
        try:
            return await function(*args)
        finally:
            with anyio.CancelScope(shield=self._faults.is_frozen):
                await self._faults.wait_thawed()
            await self._fail_if_unreachable()

    async def _fail_if_unreachable(self) -> None:
        if self._faults.is_dead:
            raise StoreUnavailable("this VM is dead")
        if self._faults.is_cut:
            await anyio.sleep(CUT_TIMEOUT_S)
            raise StoreUnavailable("this VM is cut off")


class FaultyBackends:
    """Implements `BackendClients` for one VM.

    Args:
        backends: The backend servers that all VMs share.
        faults: The VM's fault switches.
    """

    def __init__(self, backends: BackendClients, faults: VmFaults) -> None:
        self._backends = backends
        self._faults = faults

    def engine(self, server: BackendServer) -> Engine:
        """Returns the client of a model engine."""
        return _FaultyEngine(self._backends.engine(server), self._faults)  # type: ignore[return-value]

    def plain_service(self, server: BackendServer) -> PlainService:
        """Returns the client of a plain service."""
        return self._backends.plain_service(server)


class _FaultyEngine:
    """Applies the faults to completions and cancellations; other calls pass unchanged."""

    def __init__(self, engine: Engine, faults: VmFaults) -> None:
        self._engine = engine
        self._faults = faults

    def __getattr__(self, name: str) -> object:
        return getattr(self._engine, name)

    async def complete(self, completion: Completion) -> AsyncIterator[Token]:
        """Streams tokens."""
        await self._apply_faults()
        stream = self._engine.complete(completion)
        try:
            async for token in stream:
                await self._apply_faults()
                yield token
        finally:
            await stream.aclose()  # type: ignore[attr-defined]

    async def cancel(self, request_id: str) -> None:
        """Stops a completion."""
        await self._apply_faults()
        await self._engine.cancel(request_id)

    async def _apply_faults(self) -> None:
        await self._faults.wait_thawed()
        if self._faults.is_dead:
            raise ServerLost("this VM is dead")
