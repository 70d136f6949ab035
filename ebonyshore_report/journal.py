"""The journal that the bench keeps: one file a run, decoded into what a report needs."""

from pathlib import Path

from msgspec import Struct, ValidationError, field
from msgspec.json import Decoder

from ebonyshore_report.errors import ReportError


class DayResult(Struct, frozen=True):
    """One played day.

    :param worth: of all requests, less prices, 0 to 1.
    :param score: of the worth between the bench's marks, 0 to 1; ``None`` for days without marks.
    :param served: share of the worth that callers got; likewise ``refused``, ``failed``.
    :param broken_rules: number of breaks by rule.
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
        """Name of the day's file without folder and suffix; the day's own name if it has none."""
        return Path(self.name.partition(" ")[0]).stem


class Run(Struct, frozen=True):
    """One run of the bench.

    :param command: ``score``, ``hunt`` and so on.
    :param times: of its start and end, as ISO 8601; the end is empty if it did not finish.
    :param commit: that was checked out.
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
        """Whether no day broke a rule."""
        return not any(day.broken_rules for day in self.days)


def read_runs(folder: Path, command: str, since: str = "") -> list[Run]:
    """Return the finished runs of a command, oldest first.

    :param since: earliest start, as ISO 8601 in UTC; all runs if empty.

    :raises ReportError: if a file is not a run of the bench.
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
    """Return the runs of each site in their order."""
    found: dict[str, list[Run]] = {}
    for run in runs:
        found.setdefault(run.site or "", []).append(run)
    return found
