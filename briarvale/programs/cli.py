"""`briarvale`: the operators' command line."""

import typer

from ..commands import config, job
from ..commands.status import status
from ..commands.why import why

app = typer.Typer(add_completion=False, no_args_is_help=True)
app.add_typer(config.app, name="config")
app.add_typer(job.app, name="job")
app.command()(status)
app.command()(why)


@app.callback()
def briarvale() -> None:
    """Operates a Briarvale fleet."""


def main() -> None:
    """Entry point."""
    app()
