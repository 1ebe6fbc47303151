"""`briarvale-batch`: entry point of the batch program of one VM."""

from ..batch import BatchProgram
from ..environment import Environment
from ..settings import Settings
from ._run import WaitForStop, program, serve_component


async def _main(settings: Settings, environment: Environment, wait_for_stop: WaitForStop) -> None:
    batch = BatchProgram(settings, environment)
    await serve_component(settings, batch, settings.batch_port, wait_for_stop)


main = program("batch", "The batch program of one VM: runs the shards of jobs.", _main)
