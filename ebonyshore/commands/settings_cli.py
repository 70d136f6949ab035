"""Commands that show, change and audit the settings tree."""

import secrets
from getpass import getuser
from typing import Annotated
from urllib.parse import quote

import typer
from msgspec import DecodeError, convert
from msgspec.json import decode, encode

from ebonyshore.commands.admin_client import AdminClient
from ebonyshore.commands.cli_options import AdminUrl, AsJson, OperatorToken, print_json
from ebonyshore.frame.clock import Clock, SystemClock
from ebonyshore.frame.errors import EbonyshoreError, RequestError
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.settings.settings_admin import RevisionReport
from ebonyshore.settings.settings_store import SettingsEdit
from ebonyshore.settings.settings_tree import ROOT_PATH

settings_app = typer.Typer(no_args_is_help=True, help="Read and change the settings tree.")

SETTINGS_PATH = "/admin/v1/settings"
RESEND_CODES = (ResultCode.NOT_READY, ResultCode.WRITE_OUTCOME_UNKNOWN)
MAX_RESENDS = 3
POLL_INTERVAL_MS = 200

LevelPath = Annotated[
    str, typer.Argument(help="/, /tiers/NAME, /tiers/NAME/models/M or /callers/NAME")
]
Operator = Annotated[str, typer.Option(help="Name of the operator; default: login name.")]
ExpectedRevision = Annotated[
    int | None, typer.Option("--expected-revision", help="Fail if another revision is in force.")
]
WaitMs = Annotated[
    int, typer.Option(help="Time in ms to wait until the change is in force everywhere; 0: none.")
]


@settings_app.command("get")
def get_settings(
    admin: AdminUrl,
    token: OperatorToken,
    path: Annotated[str, typer.Argument(help="Print only this level.")] = "",
    as_json: AsJson = False,
) -> None:
    """Print the values set at each level, without inherited values."""
    head = AdminClient(admin, token).get(SETTINGS_PATH)
    nodes = head["nodes"]
    if path and path not in nodes:
        raise RequestError(f"{path}: level does not exist", code=ResultCode.NOT_FOUND)
    shown = {path: nodes[path]} if path else nodes
    if as_json:
        print_json({"revision": head["revision"], "nodes": shown})
        return
    typer.echo(f"revision {head['revision']}")
    for level, values in sorted(shown.items()):
        typer.echo(level)
        _print_values(values, "  ")


@settings_app.command("effective")
def show_effective(
    admin: AdminUrl, token: OperatorToken, path: LevelPath = ROOT_PATH, as_json: AsJson = False
) -> None:
    """Print the effective values at a level, including inherited ones."""
    answer = AdminClient(admin, token).get(f"{SETTINGS_PATH}/effective?path={quote(path)}")
    if as_json:
        print_json(answer)
        return
    typer.echo(f"revision {answer['revision']}")
    _print_values(answer["values"], "")


@settings_app.command("history")
def show_history(
    admin: AdminUrl,
    token: OperatorToken,
    first_revision: Annotated[int, typer.Option(help="First revision to print.")] = 1,
    as_json: AsJson = False,
) -> None:
    """Print all changes, oldest first: revision, time, operator, level, new and old values."""
    client = AdminClient(admin, token)
    changes = client.get(f"{SETTINGS_PATH}/history?first_revision={first_revision}")
    faults = client.get(f"{SETTINGS_PATH}/history-faults")
    if as_json:
        print_json({"changes": changes, "faults": faults})
    else:
        for change in changes:
            typer.echo(_format_change(change))
        for fault in faults:
            typer.echo(f"fault: {fault}")
    if faults:
        raise EbonyshoreError(
            f"settings history has {len(faults)} faults", code=ResultCode.AUDIT_FAILED
        )


@settings_app.command("set")
def set_settings(
    admin: AdminUrl,
    token: OperatorToken,
    path: LevelPath,
    assignments: Annotated[list[str] | None, typer.Argument(metavar="[NAME=VALUE]...")] = None,
    operator: Operator = "",
    expected_revision: ExpectedRevision = None,
    wait_ms: WaitMs = 10_000,
    as_json: AsJson = False,
) -> None:
    """Set values at a level and wait until they are in force; without values, create the level."""
    values = dict(_parse_assignment(text) for text in assignments or ())
    edit = SettingsEdit(path, values, operator or getuser(), expected_revision)
    _send_and_wait(AdminClient(admin, token), edit, wait_ms, as_json)


@settings_app.command("unset")
def unset_settings(
    admin: AdminUrl,
    token: OperatorToken,
    path: LevelPath,
    names: Annotated[list[str] | None, typer.Argument(metavar="[NAME]...")] = None,
    is_level: Annotated[bool, typer.Option("--level", help="Delete the whole level.")] = False,
    operator: Operator = "",
    expected_revision: ExpectedRevision = None,
    wait_ms: WaitMs = 10_000,
    as_json: AsJson = False,
) -> None:
    """Unset values at a level, so that they are inherited again, or delete the level."""
    if is_level == bool(names):
        raise RequestError("specify either the settings to unset or --level")
    values = dict.fromkeys(names or ())
    operation = "delete" if is_level else "set"
    operator_name = operator or getuser()
    edit = SettingsEdit(path, values, operator_name, expected_revision, operation=operation)
    _send_and_wait(AdminClient(admin, token), edit, wait_ms, as_json)


def send_edit(client: AdminClient, edit: SettingsEdit, clock: Clock) -> int:
    """Send a change to an entry; resend it if there is no response or the outcome is unknown.

    All sends carry the same change id, so the change is applied at most once.

    :return: the revision that the change created.
    :raises EbonyshoreError: with the result code of the entry, or with ``NOT_READY`` or
        ``WRITE_OUTCOME_UNKNOWN`` after :data:`MAX_RESENDS` resends.
    """
    fields = {name: getattr(edit, name) for name in edit.__struct_fields__}
    fields["change_id"] = edit.change_id or secrets.token_hex(8)
    for attempt in range(MAX_RESENDS + 1):
        try:
            return client.post(SETTINGS_PATH, fields)["revision"]
        except EbonyshoreError as error:
            if error.code not in RESEND_CODES or attempt == MAX_RESENDS:
                raise
        clock.sleep_ms(POLL_INTERVAL_MS)
    raise EbonyshoreError("unreachable")


def wait_until_in_force(client: AdminClient, revision: int, wait_ms: int, clock: Clock) -> None:
    """Wait until each process that the entry knows reports ``revision`` or a later one.

    :param wait_ms: time limit.
    :raises EbonyshoreError: with code ``NOT_READY`` and the outdated processes, if the time limit
        is exceeded; with another code, if the entry does not return its report.
    """
    deadline_ms = clock.monotonic_ms() + wait_ms
    last_line = ""
    while True:
        report = convert(client.get(f"{SETTINGS_PATH}/revisions?probe=1"), RevisionReport)
        outdated = report.list_outdated(revision)
        if not outdated:
            return
        line = (
            f"waiting for {len(outdated)} of {len(report.targets) + 1} processes: "
            f"{', '.join(outdated[:5])}"
        )
        if line != last_line:
            typer.echo(line, err=True)
            last_line = line
        if clock.monotonic_ms() >= deadline_ms:
            raise EbonyshoreError(
                f"revision {revision} is accepted, but not in force after {wait_ms} ms at: "
                + ", ".join(outdated),
                code=ResultCode.NOT_READY,
            )
        clock.sleep_ms(POLL_INTERVAL_MS)


def _send_and_wait(client: AdminClient, edit: SettingsEdit, wait_ms: int, as_json: bool) -> None:
    clock = SystemClock()
    revision = send_edit(client, edit, clock)
    if not as_json:
        typer.echo(f"revision {revision} is accepted")
    if wait_ms > 0:
        wait_until_in_force(client, revision, wait_ms, clock)
    if as_json:
        print_json({"revision": revision, "is_in_force": wait_ms > 0})
    elif wait_ms > 0:
        typer.echo(f"revision {revision} is in force everywhere")


def _parse_assignment(text: str) -> tuple[str, object]:
    """Split ``NAME=VALUE``; the value is decoded as JSON or, if it is not JSON, kept as text.

    :raises RequestError: if ``text`` does not have this form.
    """
    name, separator, value = text.partition("=")
    if not separator or not name:
        raise RequestError(f"{text!r}: expected NAME=VALUE")
    try:
        return name, decode(value)
    except DecodeError:
        return name, value


def _format_change(change: dict) -> str:
    if change["operation"] == "delete":
        details = "level deleted"
    else:
        details = " ".join(
            f"{name}={_format_value(value)} (was {_format_value(change['replaced'].get(name))})"
            for name, value in change["values"].items()
        )
    operator = change["operator"] or "unknown"
    return (
        f"{change['revision']} {change['wall_ms']} {operator} {change['path']} {details}".rstrip()
    )


def _format_value(value: object) -> str:
    return "inherited" if value is None else str(value)


def _print_values(values: dict[str, object], indent: str) -> None:
    for name, value in sorted(values.items()):
        typer.echo(f"{indent}{name} = {encode(value).decode()}")
