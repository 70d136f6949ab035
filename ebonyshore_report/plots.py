"""Draws the plots of the report."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402 - the backend must be selected first

from ebonyshore_report.journal import Run, group_by_site  # noqa: E402
from ebonyshore_report.tables import LoggedDay  # noqa: E402

DPI = 110


def save_plots(scores: Sequence[Run], days: Sequence[LoggedDay], folder: Path) -> None:
    """Write ``scores.png``, and ``DAY.png`` for each day.

    :param scores: runs of the command ``score``, oldest first.
    :param folder: existing folder for the files.
    """
    figure, axis = pyplot.subplots(figsize=(9, 4))
    for site, runs in group_by_site(list(scores)).items():
        values = [run.score if run.is_clean else 0.0 for run in runs]
        axis.plot(range(1, len(runs) + 1), values, marker="o", label=site)
    axis.set_xlabel("run")
    axis.set_ylabel("score, 0 if a rule was violated")
    if scores:
        axis.legend()
    _save(figure, folder / "scores.png")
    for day in days:
        _save_day(day, folder / f"{day.name}.png")


def _save_day(logged_day: LoggedDay, path: Path) -> None:
    windows = logged_day.day.windows
    figure, axis = pyplot.subplots(figsize=(9, 4))
    axis.step([window.start_s for window in windows], [window.worth for window in windows], "k-")
    for event in logged_day.day.events:
        axis.axvspan(event.at_s, event.to_s, alpha=0.12)
        axis.text(event.at_s, 0.02, event.kind, rotation=90, fontsize=7, va="bottom")
    axis.set_ylim(0, 1.05)
    axis.set_xlabel("time of day, s")
    axis.set_ylabel("worth of each window")
    axis.set_title(logged_day.name)
    _save(figure, path)


def _save(figure: pyplot.Figure, path: Path) -> None:
    figure.tight_layout()
    figure.savefig(path, dpi=DPI)
    pyplot.close(figure)
