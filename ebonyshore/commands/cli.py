"""The command line for operators. The exit status is the result code of the error or 0."""

import sys
from pathlib import Path
from typing import Annotated

import typer

from ebonyshore.commands import fleet_cli, tier_cli
from ebonyshore.commands.job_cli import job_app
from ebonyshore.commands.settings_cli import settings_app
from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore.frame.process_settings import load_settings

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="Serve online and batch inference on one fleet. "
    "The daemons are started with `ebonyshore entry` and `ebonyshore agent`.",
)
app.add_typer(tier_cli.app, name="tier")
app.add_typer(settings_app, name="settings")
app.add_typer(job_app, name="job")
app.command("request")(fleet_cli.send_request)
app.command("targets")(fleet_cli.list_targets)
app.command("drain")(fleet_cli.drain)
app.command("dump")(fleet_cli.dump)
app.command("audit")(fleet_cli.audit)


def run_command() -> None:
    """Run the command line; on an error, print it and exit with its result code."""
    try:
        app()
    except EbonyshoreError as error:
        print(f"error {int(error.code)}: {error}", file=sys.stderr)
        if error.retry_after_ms is not None:
            print(f"retry after {error.retry_after_ms} ms", file=sys.stderr)
        sys.exit(int(error.code))


@app.command("check-settings")
def check_settings(
    path: Annotated[Path, typer.Argument(help="Settings file of an entry or agent.")],
) -> None:
    """Check a settings file and print every fault."""
    load_settings(path)
    typer.echo(f"{path}: valid")
