"""Options and output functions that the commands share."""

from typing import Annotated

import typer
from msgspec.json import encode, format

AdminUrl = Annotated[
    str, typer.Option("--admin", envvar="EBONYSHORE_ADMIN", help="Admin URL of an entry.")
]
OperatorToken = Annotated[
    str, typer.Option("--token", envvar="EBONYSHORE_TOKEN", help="The operator token.")
]
EntryUrl = Annotated[
    str,
    typer.Option(
        "--entry", envvar="EBONYSHORE_ENTRY", help="URL of an entry's interface for callers."
    ),
]
ApiKey = Annotated[
    str, typer.Option("--api-key", envvar="EBONYSHORE_API_KEY", help="The caller's API key.")
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def print_json(value: object) -> None:
    """Print ``value`` as indented JSON."""
    typer.echo(format(encode(value), indent=2).decode())


def print_table(header: tuple[str, ...], rows: list[tuple[object, ...]]) -> None:
    """Print a header and rows, with columns aligned to their widest values."""
    lines = [header, *(tuple(str(value) for value in row) for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        typer.echo("  ".join(cells).rstrip())
