"""Formats tables as Markdown."""

from collections.abc import Iterable, Sequence


def table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    """Return the lines of a Markdown table.

    :param header: cells of the header row.
    :param rows: cells of each row.
    :raises ValueError: if the number of cells in a row differs from the header.
    """
    lines = [_format_row(header), _format_row(["---"] * len(header))]
    for row in rows:
        if len(row) != len(header):
            raise ValueError(f"table row has {len(row)} cells, header has {len(header)}: {row}")
        lines.append(_format_row(row))
    return lines


def _format_row(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"
