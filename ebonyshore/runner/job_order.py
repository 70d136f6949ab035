"""Decides in which order the items of batch jobs get free slots. Pure functions.

Load pattern: more jobs are accepted than can be completed in time. In the order of submission every
job would then wait until it is late. Instead, the jobs that can still be completed in time go
first, as whole jobs. The others get the slots that are left, and a share of all slots while they
could otherwise not end before their retention time.
"""

from collections.abc import Sequence

from msgspec import Struct

# Items differ in length, and online requests preempt them. Work that is expected to end just in
# time would often end late, and delay further work by that.
ITEM_MARGIN = 0.9  # of the slot time that an item is expected to need, before its job begins
BEGUN_ITEM_MARGIN = 0.8  # the same afterwards: an item that takes less time may still be punctual
LISTING_TIME_MS = 1_000.0  # from the end of an item until callers have read its result
LATE_SHARE = 0.2  # of the slots, for late jobs that their retention time threatens


class JobDemand(Struct, frozen=True):
    """The unfinished work of one job. Times are milliseconds from now.

    :param job_id: id of the job.
    :param due_in_ms: time until its results are due; negative if they are overdue.
    :param retention_in_ms: time until its items may be given up.
    :param work_ms: time in a slot that all its unfinished items together still need.
    :param longest_item_ms: the same for the item that needs most.
    :param has_begun: whether any of its items has run.
    """

    job_id: str
    due_in_ms: float
    retention_in_ms: float
    work_ms: float
    longest_item_ms: float
    has_begun: bool = False


class JobOrder(Struct, frozen=True):
    """The order in which jobs get free slots.

    :param job_ids: ids of all jobs, first the one whose items start first.
    :param late: ids of the jobs that are not expected to be completed in time.
    :param is_late_first: whether the late jobs go before the others.
    """

    job_ids: tuple[str, ...]
    late: frozenset[str] = frozenset()
    is_late_first: bool = False


def order_jobs(jobs: Sequence[JobDemand], slots: float, late_running: int = 0) -> JobOrder:
    """Return the order in which the items of the jobs start.

    :param jobs: the unfinished jobs.
    :param slots: number of slots that these jobs can use together.
    :param late_running: number of running items of jobs that were late before.
    """
    slots = max(1.0, slots)
    punctual = _select_punctual(jobs, slots)
    punctual_ids = {job.job_id for job in punctual}
    late = sorted(
        (job for job in jobs if job.job_id not in punctual_ids),
        key=lambda job: job.retention_in_ms,
    )
    late_slots = LATE_SHARE * slots
    is_late_first = late_running < late_slots and _is_threatened(late, late_slots)
    ordered = [*late, *punctual] if is_late_first else [*punctual, *late]
    return JobOrder(
        tuple(job.job_id for job in ordered),
        frozenset(job.job_id for job in late),
        is_late_first,
    )


def item_rank(order: JobOrder, job_id: str, has_progress: bool) -> tuple[bool, bool]:
    """Return a sort key of an item that goes before the place of its job in the order.

    Among punctual jobs, and among late ones, the items that have been interrupted go first.
    Online requests interrupt items every few seconds. If others took their slots each time, the
    work would be spread over many unfinished items, and all of it would be lost with the process.

    :param has_progress: whether the item has been interrupted after its first event.
    """
    is_in_second_part = (job_id in order.late) != order.is_late_first
    return is_in_second_part, not has_progress


def _select_punctual(jobs: Sequence[JobDemand], slots: float) -> list[JobDemand]:
    """Return the jobs to complete in time, in the order in which their items start.

    Jobs that have begun come first, so that whole jobs are completed; the others follow by due
    time. A job that would be late behind those before it is left out.
    """
    chosen: list[JobDemand] = []
    work_ms = 0.0
    for job in sorted(jobs, key=lambda job: (not job.has_begun, job.due_in_ms)):
        margin = BEGUN_ITEM_MARGIN if job.has_begun else ITEM_MARGIN
        usable_ms = job.due_in_ms - LISTING_TIME_MS - margin * job.longest_item_ms
        if (work_ms + job.work_ms) / slots <= usable_ms:
            chosen.append(job)
            work_ms += job.work_ms
    return chosen


def _is_threatened(late: Sequence[JobDemand], slots: float) -> bool:
    """Return whether late jobs would end after their retention time if they waited any longer.

    Jobs that can no longer end before it are not considered.

    :param late: the late jobs, by retention time.
    :param slots: number of slots that they get.
    """
    work_ms = 0.0
    for job in late:
        if job.longest_item_ms > job.retention_in_ms:
            continue
        work_ms += job.work_ms
        if job.retention_in_ms - work_ms / slots < job.longest_item_ms:
            return True
    return False
