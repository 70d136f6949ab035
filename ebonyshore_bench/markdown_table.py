"""Tables in Markdown."""

from collections.abc import Iterable, Sequence


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    """Return the lines of a table.

    :raises ValueError: if a row has another number of cells than the head.
    """
    lines = [_line(head), _line(["---"] * len(head))]
    for row in rows:
        if len(row) != len(head):
            raise ValueError(f"{len(row)} cells under {len(head)} headings: {row}")
        lines.append(_line(row))
    return lines


def _line(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"
