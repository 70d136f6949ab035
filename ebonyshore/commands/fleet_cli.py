"""Commands that send a request, inspect the processes of the fleet or drain one."""

from typing import Annotated

import typer

from ebonyshore.commands.admin_client import AdminClient
from ebonyshore.commands.caller_client import CallerClient
from ebonyshore.commands.cli_options import (
    AdminUrl,
    ApiKey,
    AsJson,
    EntryUrl,
    OperatorToken,
    print_json,
    print_table,
)
from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore.frame.result_codes import ResultCode

ProcessUrl = Annotated[str, typer.Argument(help="Admin URL of an entry or agent.")]


def send_request(
    model: Annotated[str, typer.Argument(help="Model that answers the request.")],
    prompt: Annotated[str, typer.Argument(help="Message of the user.")],
    entry: EntryUrl,
    api_key: ApiKey = "",
    max_tokens: Annotated[
        int, typer.Option(min=1, help="Maximum number of tokens to generate.")
    ] = 64,
    idempotency_key: Annotated[
        str, typer.Option(help="A repeated request with the same key returns the first answer.")
    ] = "",
    no_repeat: Annotated[
        bool, typer.Option("--no-repeat", help="Execute the request at most once.")
    ] = False,
    deadline_ms: Annotated[
        int, typer.Option(min=0, help="Time limit in ms; 0 for that of the tier.")
    ] = 0,
) -> None:
    """Send one online request and print the answer while it is generated."""
    headers = {}
    if idempotency_key:
        headers["Idempotency_Key"] = idempotency_key
    if no_repeat:
        headers["Ebonyshore_No_Repeat"] = "true"
    if deadline_ms:
        headers["Ebonyshore_Deadline_Ms"] = str(deadline_ms)
    for text in CallerClient(entry, api_key).stream_chat(model, prompt, max_tokens, **headers):
        typer.echo(text, nl=False)
    typer.echo()


def list_targets(admin: AdminUrl, token: OperatorToken, as_json: AsJson = False) -> None:
    """List the targets as an entry sees them."""
    targets = AdminClient(admin, token).get("/admin/v1/targets")
    if as_json:
        print_json(targets)
        return
    rows = [
        (
            target_id,
            view["failure_domain"],
            _target_state(view),
            view["load"]["online_running"],
            view["load"]["batch_running"],
            view["settings_revision"],
            " ".join(view["models"]),
        )
        for target_id, view in sorted(targets.items())
    ]
    print_table(("TARGET", "DOMAIN", "STATE", "ONLINE", "BATCH", "REVISION", "MODELS"), rows)


def drain(address: ProcessUrl, token: OperatorToken) -> None:
    """Start the planned stop of a process; it completes the work that it has accepted."""
    AdminClient(address, token).post("/admin/v1/drain", {})
    typer.echo(f"{address}: drain started")


def dump(address: ProcessUrl, token: OperatorToken) -> None:
    """Print the state dump of a process as JSON."""
    print_json(AdminClient(address, token).get("/admin/v1/dump"))


def audit(admin: AdminUrl, token: OperatorToken, as_json: AsJson = False) -> None:
    """Verify that each accepted batch item has exactly one readable outcome."""
    report = AdminClient(admin, token).get("/admin/v1/audit")
    if as_json:
        print_json(report)
    else:
        for fault in report["faults"]:
            typer.echo(f"fault: {fault}")
        typer.echo(report["line"])
    if not report["is_clean"]:
        raise EbonyshoreError("the stored records are inconsistent", code=ResultCode.AUDIT_FAILED)


def _target_state(view: dict[str, object]) -> str:
    if view["is_leaving"]:
        return "leaving"
    return "live" if view["incarnation"] else "silent"
