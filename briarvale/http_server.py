"""ASGI applications served by hypercorn inside a task group, with a graceful shutdown."""

from collections.abc import Awaitable, Callable

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.applications import Starlette

GRACEFUL_TIMEOUT_S = 600.0
READ_TIMEOUT_S = 30

__all__ = ["serve_app", "wait_forever"]


async def serve_app(
    app: Starlette,
    host: str,
    port: int,
    shutdown: Callable[[], Awaitable[None]],
) -> None:
    """Serves until `shutdown` returns, then until the last request has ended."""
    config = Config()
    config.bind = [f"{host}:{port}"]
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.shutdown_timeout = GRACEFUL_TIMEOUT_S
    config.read_timeout = READ_TIMEOUT_S
    config.accesslog = None
    config.errorlog = None
    # Runs in its own task, since hypercorn's task group changes the cancellation count of the task
    # that it runs in.
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_serve, app, config, shutdown)


async def wait_forever() -> None:
    """A shutdown trigger that never fires; the task is cancelled instead."""
    await anyio.sleep_forever()


async def _serve(app: Starlette, config: Config, shutdown: Callable[[], Awaitable[None]]) -> None:
    await serve(app, config, shutdown_trigger=shutdown)  # type: ignore[arg-type]
