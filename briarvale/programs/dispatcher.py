"""`briarvale-dispatcher`: entry point of the dispatcher of one VM."""

from ..dispatcher import Dispatcher
from ..environment import Environment
from ..settings import Settings
from ..vm_report import report_route
from ._run import WaitForStop, program, serve_component


async def _main(settings: Settings, environment: Environment, wait_for_stop: WaitForStop) -> None:
    dispatcher = Dispatcher(settings, environment)
    report = report_route(dispatcher)
    await serve_component(settings, dispatcher, settings.dispatcher_port, wait_for_stop, report)


main = program(
    "dispatcher", "The dispatcher of one VM: membership, slots, health and configuration.", _main
)
