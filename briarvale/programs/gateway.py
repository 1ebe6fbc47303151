"""`briarvale-gateway`: entry point of the callers' HTTP interface of one VM."""

import anyio

from ..environment import Environment
from ..gateway import Gateway
from ..gateway_http import gateway_app
from ..http_server import serve_app
from ..settings import Settings
from ._run import WaitForStop, program


async def _main(settings: Settings, environment: Environment, wait_for_stop: WaitForStop) -> None:
    gateway = Gateway(settings, environment)

    async def wait_drained() -> None:
        await wait_for_stop()
        await gateway.drain()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(gateway.run)
        await serve_app(gateway_app(gateway), settings.host, settings.gateway_port, wait_drained)
        tasks.cancel_scope.cancel()


main = program("gateway", "The gateway of one VM: the callers' HTTP interface.", _main)
