"""What processes tell each other about targets that return to service."""

from msgspec import Struct

from ebonyshore.link.load_table import Incarnation
from ebonyshore.link.wire_types import Finite


class PaceCounts(Struct, frozen=True, array_like=True):
    """How a target has answered one process; the counts only grow.

    :param on_time: answers that began as promptly as those of other targets.
    :param late: answers that began later, refusals and connections that were not accepted.
    :param failed: runs that the target lost or left without an answer.
    """

    on_time: int = 0
    late: int = 0
    failed: int = 0

    def plus(self, other: "PaceCounts") -> "PaceCounts":
        """Return the sum of both counts."""
        return PaceCounts(
            self.on_time + other.on_time, self.late + other.late, self.failed + other.failed
        )

    def since(self, earlier: "PaceCounts") -> "PaceCounts":
        """Return what was added; all of it if the process has started to count anew."""
        if (
            self.on_time < earlier.on_time
            or self.late < earlier.late
            or self.failed < earlier.failed
        ):
            return self
        return PaceCounts(
            self.on_time - earlier.on_time,
            self.late - earlier.late,
            self.failed - earlier.failed,
        )


class PaceEvidence(Struct, frozen=True, array_like=True):
    """The counts of one process for one target.

    :param limit: limit that the process uses, for a runner that does not know the target;
        ``None`` without a limit.
    """

    incarnation: Incarnation
    limit: Finite | None
    counts: PaceCounts


class PaceReport(Struct, frozen=True, tag="pace", array_like=True):
    """What one process has seen of targets that return; sent to all runners.

    :param sender: instance id of the process.
    """

    sender: str
    evidence: tuple[PaceEvidence, ...]


class PaceLimit(Struct, frozen=True, array_like=True):
    """The limit of one target over all processes.

    :param limit: number of requests in flight; ``None`` if there is no limit any more.
    :param pause_ms: time for which nothing is sent, after a trial that did not go well.
    :param has_fallen: whether the target has answered late or not at all since it returned.
    """

    incarnation: Incarnation
    limit: Finite | None
    pause_ms: Finite = 0.0
    has_fallen: bool = False


class PaceLimits(Struct, frozen=True, tag="pace_limits", array_like=True):
    """The limits that follow from the reports; sent to the entries by the runner with the totals.

    :param sender: instance id of the runner.
    """

    sender: str
    limits: tuple[PaceLimit, ...]
