"""Which kinds of trouble were played together, how often, and what broke."""

import tomllib
from collections.abc import Iterable
from pathlib import Path

from msgspec import Struct

from ebonyshore_report.errors import ReportError
from ebonyshore_report.journal import Run

DAY_SUFFIX = ".toml"


class OwnDay(Struct, frozen=True):
    """A day of the repository's own and its plays.

    :param kinds: of trouble in it, with their variants, in the order of their times.
    :param plays: by site.
    :param breaks: one text for each play that broke a rule.
    """

    name: str
    fault_kinds: tuple[str, ...]
    run_counts: dict[str, int]
    violations: tuple[str, ...]


def read_own_days(folder: Path, runs: Iterable[Run]) -> list[OwnDay]:
    """Return all days of a folder with their plays in the given runs, by name.

    :raises ReportError: if a file is not a day.
    """
    runs = list(runs)
    return [_read_day(path, runs) for path in sorted(folder.glob(f"*{DAY_SUFFIX}"))]


def _read_day(path: Path, runs: list[Run]) -> OwnDay:
    try:
        text = tomllib.loads(path.read_text(encoding="utf-8"))
        entries = sorted([*text["plan"], *text["faults"]], key=lambda entry: entry["at"])
        kinds = [_describe_fault(entry) for entry in entries]
    except (tomllib.TOMLDecodeError, KeyError, TypeError) as error:
        raise ReportError(f"{path.name}: {error!r}") from error
    if "closing" in text:
        kinds.append(f"closing {_describe_fault(text['closing'])}")
    plays: dict[str, int] = {}
    breaks: list[str] = []
    for run in runs:
        for day in run.days:
            if day.file_stem == path.stem:
                plays[run.site or ""] = plays.get(run.site or "", 0) + 1
                breaks += [f"{run.site} {day.name}: {rule}" for rule in day.broken_rules]
    return OwnDay(path.stem, tuple(dict.fromkeys(kinds)), plays, tuple(breaks))


def _describe_fault(entry: dict[str, object]) -> str:
    how = entry.get("how")
    return f"{entry['kind']} ({how})" if how else str(entry["kind"])
