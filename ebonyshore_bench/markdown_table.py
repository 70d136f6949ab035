"""Tables in Markdown."""

from collections.abc import Iterable, Sequence


def table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    """Return the lines of a table.

    :raises ValueError: if a row has another number of cells than the head.
    """
    lines = [_line(header), _line(["---"] * len(header))]
    for row in rows:
        if len(row) != len(header):
            raise ValueError(f"{len(row)} cells under {len(header)} headings: {row}")
        lines.append(_line(row))
    return lines


def _line(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"
