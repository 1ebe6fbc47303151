"""`briarvale-dispatcher`: wiring of the dispatcher of one VM."""

from ..dispatcher import Dispatcher
from ..environment import Environment
from ..settings import Settings
from ._run import Shutdown, program, serve_part


async def _main(settings: Settings, environment: Environment, shutdown: Shutdown) -> None:
    part = Dispatcher(settings, environment)
    await serve_part(settings, part, settings.dispatcher_port, shutdown)


main = program(
    "dispatcher", "The dispatcher of one VM: membership, slots, health and configuration.", _main
)
