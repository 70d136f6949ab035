"""The operators' command line."""

import sys
from pathlib import Path
from typing import Annotated

import typer
from msgspec.json import encode, format

from ebonyshore.admin_client import AdminClient
from ebonyshore.errors import EbonyshoreError
from ebonyshore.process_settings import load_settings
from ebonyshore.result_codes import ResultCode
from ebonyshore.settings_cli import settings_app

app = typer.Typer(no_args_is_help=True, help="Serve online and batch inference on one fleet.")
tier_app = typer.Typer(no_args_is_help=True, help="Create and show serving tiers.")
app.add_typer(tier_app, name="tier")
app.add_typer(settings_app, name="settings")

Url = Annotated[
    str, typer.Option("--admin", envvar="EBONYSHORE_ADMIN", help="admin URL of an entry")
]
Token = Annotated[
    str, typer.Option("--token", envvar="EBONYSHORE_TOKEN", help="the operator token")
]


def run_command() -> None:
    """Run a command; exit with the result code of its error, if any."""
    try:
        app()
    except EbonyshoreError as error:
        print(f"error {int(error.code)}: {error}", file=sys.stderr)
        sys.exit(int(error.code))


@app.command("check-settings")
def check_settings(path: Annotated[Path, typer.Argument(help="a settings file")]) -> None:
    """Check a settings file and print every fault."""
    load_settings(path)
    typer.echo(f"{path}: valid")


@tier_app.command("create")
def create_tier(
    name: Annotated[str, typer.Argument(help="name of the tier")],
    admin: Url,
    token: Token,
    model: Annotated[list[str], typer.Option(help="a model or service of the tier")],
    weighting: Annotated[str, typer.Option(help="harm_first or throughput_first")] = "harm_first",
) -> None:
    """Create a tier and its models."""
    client = AdminClient(admin, token)
    _change(client, f"/tiers/{name}", {"weighting": weighting})
    for model_name in model:
        _change(client, f"/tiers/{name}/models/{model_name}", {})


@app.command("dump")
def dump(
    address: Annotated[str, typer.Argument(help="admin URL of an entry or agent")], token: Token
) -> None:
    """Print a process's whole state as JSON."""
    typer.echo(format(encode(AdminClient(address, token).get("/admin/v1/dump")), indent=2))


@app.command("audit")
def audit(admin: Url, token: Token) -> None:
    """Verify that each accepted item has exactly one readable outcome."""
    report = AdminClient(admin, token).get("/admin/v1/audit")
    for fault in report["faults"]:
        typer.echo(f"fault: {fault}")
    typer.echo(report["line"])
    if not report["is_clean"]:
        raise EbonyshoreError(code=ResultCode.AUDIT_FAILED)


def _change(client: AdminClient, path: str, values: dict[str, object]) -> None:
    client.post("/admin/v1/settings", {"path": path, "values": values, "operator": "cli"})
