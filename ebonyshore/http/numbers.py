"""Parses numbers in headers, query fields and event ids, which other parties may have malformed."""

from math import isfinite

MAX_DIGITS = 18  # a longer number is no valid count, id or duration
MAX_PORT = 65_535


def parse_decimal(text: str | None) -> int | None:
    """Return a number that consists of ASCII digits.

    :return: the number; ``None`` if the text is missing, anything else or too long.
    """
    if not text or not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)


def parse_port(text: str | None) -> int | None:
    """Return a port that a server can listen on; ``None`` if the text is anything else."""
    port = parse_decimal(text)
    return port if port is not None and 1 <= port <= MAX_PORT else None


def parse_non_negative(text: str | None) -> float | None:
    """Return a finite number of at least 0, with or without a fraction.

    :return: the number; ``None`` if the text is missing or anything else, such as ``nan``.
    """
    try:
        number = float(text or "")
    except ValueError:
        return None
    return number if isfinite(number) and number >= 0 else None
