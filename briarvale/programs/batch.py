"""`briarvale-batch`: entry point of the batch program of one VM."""

from ..batch import BatchProgram
from ..environment import Environment
from ..settings import Settings
from ._run import Shutdown, program, serve_part


async def _main(settings: Settings, environment: Environment, shutdown: Shutdown) -> None:
    part = BatchProgram(settings, environment)
    await serve_part(settings, part, settings.batch_port, shutdown)


main = program("batch", "The batch program of one VM: runs the shards of jobs.", _main)
