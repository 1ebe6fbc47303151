"""`briarvale-dispatcher`: entry point of the dispatcher of one VM."""

from ..dispatcher import Dispatcher
from ..environment import Environment
from ..settings import Settings
from ..vm_report import report_route
from ._run import Shutdown, program, serve_part


async def _main(settings: Settings, environment: Environment, shutdown: Shutdown) -> None:
    part = Dispatcher(settings, environment)
    report = report_route(part)
    await serve_part(settings, part, settings.dispatcher_port, shutdown, report)


main = program(
    "dispatcher", "The dispatcher of one VM: membership, slots, health and configuration.", _main
)
