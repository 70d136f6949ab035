"""Reads the journal of the bench, which contains one JSON file for each run."""

from pathlib import Path

from msgspec import Struct, ValidationError, field
from msgspec.json import Decoder

from ebonyshore_report.errors import ReportError


class DayResult(Struct, frozen=True):
    """Result of one day in a run.

    :param worth: worth of all requests after deductions, 0 to 1.
    :param score: position of the worth between the bench's reference values, 0 to 1; ``None`` for a
        day without reference values.
    :param served: share of the worth that callers received.
    :param refused: share of the worth of refused requests.
    :param failed: share of the worth of failed requests.
    :param broken_rules: number of violations by rule.
    :param seed: seed of the day, if it has one.
    """

    name: str
    worth: float | None = field(name="G", default=None)
    score: float | None = None
    served: float | None = None
    refused: float | None = None
    failed: float | None = None
    broken_rules: dict[str, int] = field(name="rules", default={})
    seed: int | None = None

    @property
    def file_stem(self) -> str:
        """Name of the file that defines the day, without folder and suffix.

        For a day without a file, the name of the day.
        """
        return Path(self.name.partition(" ")[0]).stem


class Run(Struct, frozen=True):
    """One run of the bench.

    :param command: command of the bench, such as ``score``, ``hunt`` or ``run``.
    :param times: start and end as ISO 8601 in UTC; the end is empty if the run did not finish.
    :param commit: commit that was checked out.
    :param site: name of the site, if the command has one.
    :param score: score of the whole run, if the command gives one.
    :param is_finished: whether the run has come to its end.
    :param days: results of the days in the run.
    """

    command: str = field(name="cmd")
    times: tuple[str, str] = field(name="at")
    commit: str = field(name="head")
    site: str | None = None
    score: float | None = None
    is_finished: bool = field(name="ok", default=False)
    days: tuple[DayResult, ...] = ()

    @property
    def is_clean(self) -> bool:
        """Whether no rule was violated on any day."""
        return not any(day.broken_rules for day in self.days)


def read_runs(folder: Path, command: str, since: str = "") -> list[Run]:
    """Return the finished runs of a command, oldest first, which is the order of their file names.

    :param folder: folder of the journal.
    :param command: command of the runs to return.
    :param since: earliest start, as ISO 8601 in UTC; all runs if empty.
    :raises ReportError: if a JSON file of the folder does not describe a run.
    """
    decoder = Decoder(Run)
    runs: list[Run] = []
    for path in sorted(folder.glob("*.json")):
        try:
            run = decoder.decode(path.read_bytes())
        except ValidationError as error:
            raise ReportError(f"{path.name}: {error}") from error
        if run.command == command and run.is_finished and run.times[0] >= since:
            runs.append(run)
    return runs


def group_by_site(runs: list[Run]) -> dict[str, list[Run]]:
    """Return the runs of each site, in the given order; runs without a site under an empty name."""
    runs_by_site: dict[str, list[Run]] = {}
    for run in runs:
        runs_by_site.setdefault(run.site or "", []).append(run)
    return runs_by_site
