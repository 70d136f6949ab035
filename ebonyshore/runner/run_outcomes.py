"""Records what the runs of items show about their targets."""

from ebonyshore.host.content_run import ContentRun
from ebonyshore.host.outliers import find_outliers
from ebonyshore.host.target import Target
from ebonyshore.host.targets import TargetTable
from ebonyshore.runner.item_run import RunOutcome

BROKEN_OUTCOMES = (RunOutcome.SILENT, RunOutcome.BROKEN)
REFUSED_OUTCOMES = (RunOutcome.NOT_RUN, RunOutcome.FAILED, RunOutcome.BROKEN)


class RunOutcomes:
    """The outcomes of this runner's items, by target. For one event loop.

    A target that fails many of its runs, for example because it sends bytes that are no answer, has
    free slots all the time, and would attract the items that wait.

    :param targets: the known targets.
    """

    __slots__ = ("_failing", "_targets")

    def __init__(self, targets: TargetTable) -> None:
        self._targets = targets
        self._failing: dict[str, Target] = {}  # those with a failure that still has weight

    def record(self, run: ContentRun, outcome: RunOutcome, now_ms: float) -> None:
        """Record how a run has ended.

        A failure that a target reports counts for its pace only: the item may be the reason.
        """
        target = run.target
        if outcome in BROKEN_OUTCOMES:
            target.outcomes.record(1.0, now_ms)
            self._failing[target.target_id] = target
        elif outcome is RunOutcome.COMPLETE:
            target.outcomes.record(0.0, now_ms)
        self._record_pace(run, outcome, now_ms)

    def _record_pace(self, run: ContentRun, outcome: RunOutcome, now_ms: float) -> None:
        """Record that a target did not run an item to its end, for its limit if it returns."""
        pace = self._targets.pace
        if outcome is RunOutcome.UNREACHABLE:
            pace.record_doubt(run.target, run.started_ms, now_ms)
        elif outcome is RunOutcome.SILENT:
            pace.record_failure(run.target, run.started_ms, now_ms)
        elif outcome in REFUSED_OUTCOMES:
            pace.record_refusal(run.target, run.started_ms, now_ms)

    def outliers(self, now_ms: float) -> set[str]:
        """Return the ids of the targets that get no items at present."""
        rates = {
            target_id: target.outcomes.failure_rate(now_ms)
            for target_id, target in self._failing.items()
            if self._targets.find(target_id) is target
        }
        self._failing = {target_id: self._failing[target_id] for target_id in rates}
        return find_outliers(list(rates.items()), len(self._targets))
