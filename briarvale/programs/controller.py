"""`briarvale-controller`: entry point of the controller of one VM."""

from ..controller import Controller
from ..environment import Environment
from ..settings import Settings
from ._run import Shutdown, program, serve_part


async def _main(settings: Settings, environment: Environment, shutdown: Shutdown) -> None:
    part = Controller(settings, environment)
    await serve_part(settings, part, settings.controller_port, shutdown)


main = program(
    "controller", "The controller of one VM: orders engines into the declared state.", _main
)
