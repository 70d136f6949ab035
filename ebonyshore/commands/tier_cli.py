"""Commands on serving tiers."""

from typing import Annotated

import typer

from ebonyshore.commands.admin_client import AdminClient
from ebonyshore.commands.cli_options import AdminUrl, AsJson, OperatorToken, print_json, print_table
from ebonyshore.frame.errors import RequestError
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.settings.settings_tree import SettingsTree

app = typer.Typer(no_args_is_help=True, help="Create and show serving tiers.")

TierName = Annotated[str, typer.Argument(help="Name of the tier.")]


@app.command("create")
def create_tier(
    name: TierName,
    admin: AdminUrl,
    token: OperatorToken,
    model: Annotated[
        list[str], typer.Option(help="Model or plain service of the tier; may be repeated.")
    ],
    weighting: Annotated[
        str, typer.Option(help="Scheduling priority: harm_first or throughput_first.")
    ] = "harm_first",
    operator: Annotated[
        str, typer.Option(envvar="USER", help="Name of the operator, for the history.")
    ] = "operator",
) -> None:
    """Create a tier with its models."""
    client = AdminClient(admin, token)
    if name in fetch_tree(client).tiers():
        raise RequestError(f"tier {name} already exists", code=ResultCode.SETTINGS_CONFLICT)
    # Each level is a change of its own: after an error, the levels created before it remain.
    changes = [(f"/tiers/{name}", {"weighting": weighting})]
    changes += [(f"/tiers/{name}/models/{model_name}", {}) for model_name in model]
    for path, values in changes:
        change = {"path": path, "values": values, "operator": operator}
        revision = client.post("/admin/v1/settings", change)["revision"]
    typer.echo(f"tier {name} created at settings revision {revision}")


@app.command("list")
def list_tiers(admin: AdminUrl, token: OperatorToken, as_json: AsJson = False) -> None:
    """List the tiers and their models."""
    tree = fetch_tree(AdminClient(admin, token))
    models = {tier: [m for m in tree.models() if tree.tier_of(m) == tier] for tier in tree.tiers()}
    if as_json:
        print_json(models)
        return
    print_table(("TIER", "MODELS"), [(tier, " ".join(names)) for tier, names in models.items()])


@app.command("show")
def show_tier(
    name: TierName, admin: AdminUrl, token: OperatorToken, as_json: AsJson = False
) -> None:
    """Show the effective settings of a tier."""
    tree = fetch_tree(AdminClient(admin, token))
    if name not in tree.tiers():
        raise RequestError(f"tier {name}", code=ResultCode.NOT_FOUND)
    effective = tree.effective(f"/tiers/{name}")
    if as_json:
        print_json(effective)
        return
    names = effective.__struct_fields__
    values = [(setting, getattr(effective, setting)) for setting in names]
    print_table(("SETTING", "VALUE"), [(s, getattr(v, "value", v)) for s, v in values])


def fetch_tree(client: AdminClient) -> SettingsTree:
    """Return the settings tree in force in an entry; errors as for :meth:`AdminClient.get`."""
    head = client.get("/admin/v1/settings")
    return SettingsTree(head["revision"], head["nodes"])
