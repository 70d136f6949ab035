"""Counts the runs of the repository's own days, with their fault kinds and rule violations."""

import tomllib
from collections.abc import Iterable
from pathlib import Path

from msgspec import Struct

from ebonyshore_report.errors import ReportError
from ebonyshore_report.journal import Run

DAY_SUFFIX = ".toml"


class OwnDay(Struct, frozen=True):
    """A day defined in this repository, with its runs.

    :param name: name of the day's file without suffix.
    :param fault_kinds: kinds of the events and faults with their variants, without duplicates, in
        the order of their times.
    :param run_counts: number of runs by site.
    :param violations: one text for each rule that a run violated.
    """

    name: str
    fault_kinds: tuple[str, ...]
    run_counts: dict[str, int]
    violations: tuple[str, ...]


def read_own_days(folder: Path, runs: Iterable[Run]) -> list[OwnDay]:
    """Return all days of a folder, sorted by name, with their results in the given runs.

    :param folder: folder with one TOML file for each day.
    :raises ReportError: if a file does not define a day.
    """
    runs = list(runs)
    return [_read_day(path, runs) for path in sorted(folder.glob(f"*{DAY_SUFFIX}"))]


def _read_day(path: Path, runs: list[Run]) -> OwnDay:
    try:
        definition = tomllib.loads(path.read_text(encoding="utf-8"))
        entries = sorted(
            [*definition["plan"], *definition["faults"]], key=lambda entry: entry["at"]
        )
        fault_kinds = [_describe_fault(entry) for entry in entries]
    except (tomllib.TOMLDecodeError, KeyError, TypeError) as error:
        raise ReportError(f"{path.name}: {error!r}") from error
    if "closing" in definition:
        fault_kinds.append(f"closing {_describe_fault(definition['closing'])}")
    run_counts: dict[str, int] = {}
    violations: list[str] = []
    for run in runs:
        for day in run.days:
            if day.file_stem == path.stem:
                run_counts[run.site or ""] = run_counts.get(run.site or "", 0) + 1
                violations += [f"{run.site} {day.name}: {rule}" for rule in day.broken_rules]
    return OwnDay(path.stem, tuple(dict.fromkeys(fault_kinds)), run_counts, tuple(violations))


def _describe_fault(entry: dict[str, object]) -> str:
    variant = entry.get("how")
    return f"{entry['kind']} ({variant})" if variant else str(entry["kind"])
