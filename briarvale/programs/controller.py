"""`briarvale-controller`: entry point of the controller of one VM."""

from ..controller import Controller
from ..environment import Environment
from ..settings import Settings
from ._run import WaitForStop, program, serve_component


async def _main(settings: Settings, environment: Environment, wait_for_stop: WaitForStop) -> None:
    controller = Controller(settings, environment)
    await serve_component(settings, controller, settings.controller_port, wait_for_stop)


main = program(
    "controller", "The controller of one VM: orders engines into the declared state.", _main
)
