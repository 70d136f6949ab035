"""Decides in which order the items of batch jobs get free slots. Pure functions.

Load pattern: more jobs are accepted than can be completed in time. In the order of submission every
job would then wait until it is late. Instead, the jobs that can still be completed in time go
first, as whole jobs. The others get the slots that are left, and a share of all slots while they
could otherwise not end before their retention time. If jobs of several client accounts compete,
:mod:`account_sharing` decides whose go first.

Online requests interrupt the items every few seconds. Interrupted items that can still be in time
therefore go before all others, and the other items of a job that is partly late before late items.
"""

from collections import Counter
from collections.abc import Sequence
from enum import IntEnum
from functools import partial
from math import ceil
from typing import TypeVar

from msgspec import Struct

from ebonyshore.runner.account_sharing import PunctualSchedule, max_min_part, take_in_turn

# Items differ in length, and online requests preempt them. Work that is expected to end just in
# time would often end late, and delay further work by that.
ITEM_MARGIN = 0.9  # of the slot time that an item is expected to need, before its job begins
BEGUN_ITEM_MARGIN = 0.8  # the same afterwards: an item that takes less time may still be punctual
LISTING_TIME_MS = 1_000.0  # from the end of an item until callers have read its result
# Items wait until those of other accounts end, so slots that are just enough would be too few.
NEED_MARGIN = 2.0  # of the slots in which the jobs of an account would end just in time
LATE_SHARE = 0.2  # of the slots, for late jobs that their retention time threatens

Waiting = TypeVar("Waiting")  # represents a waiting item


class JobDemand(Struct, frozen=True):
    """The unfinished work of one job. Times are milliseconds from now.

    :param job_id: id of the job.
    :param due_in_ms: time until its results are due; negative if they are overdue.
    :param retention_in_ms: time until its items may be given up.
    :param work_ms: time in a slot that all its unfinished items together still need.
    :param longest_item_ms: the same for the item that needs most.
    :param has_begun: whether any of its items has run.
    :param account: the client account that submitted it; empty if there are no accounts.
    """

    job_id: str
    due_in_ms: float
    retention_in_ms: float
    work_ms: float
    longest_item_ms: float
    has_begun: bool = False
    account: str = ""


class JobOrder(Struct, frozen=True):
    """The order in which jobs get free slots.

    :param job_ids: ids of all jobs, first the one whose items start first.
    :param late: ids of the jobs that are not expected to be completed in time.
    :param late_slots: number of slots in which late items run before all others.
    :param part_slots: slots up to which the other items of each account go before those of accounts
        with more. Empty unless several accounts compete for too few slots.
    """

    job_ids: tuple[str, ...]
    late: frozenset[str] = frozenset()
    late_slots: int = 0
    part_slots: dict[str, float] = {}


def order_jobs(jobs: Sequence[JobDemand], slots: float) -> JobOrder:
    """Return the order in which the items of the jobs start.

    :param jobs: the unfinished jobs.
    :param slots: number of slots that these jobs can use together.
    """
    slots = max(1.0, slots)
    is_shared = _are_shared(jobs)
    punctual = _select_punctual(jobs, slots)
    if is_shared and _are_slots_short(jobs, punctual, slots):
        punctual = _select_in_turn(jobs, slots)
        part_slots = _part_slots(punctual, slots)
    else:
        part_slots = {}
    punctual_ids = {job.job_id for job in punctual}
    late = sorted(
        (job for job in jobs if job.job_id not in punctual_ids),
        key=lambda job: job.retention_in_ms,
    )
    late_slots = LATE_SHARE * slots
    return JobOrder(
        tuple(job.job_id for job in (*punctual, *_share_order(late))),
        frozenset(job.job_id for job in late),
        ceil(late_slots) if _is_threatened(late, late_slots) else 0,
        part_slots,
    )


def can_be_in_time(due_in_ms: float, needed_ms: float) -> bool:
    """Return whether an item is still in time if it runs from now on.

    :param due_in_ms: time until the results of its job are due.
    :param needed_ms: slot time that the item still needs.
    """
    return needed_ms + LISTING_TIME_MS <= due_in_ms


class ItemRank(IntEnum):
    """The parts into which waiting items are divided; lower ones start first."""

    INTERRUPTED = 0  # can be in time and has run
    PUNCTUAL_JOB = 1  # of a job that is expected to be completed in time
    IN_TIME = 2  # can be in time, of a job that is late as a whole
    LATE = 3


def item_rank(order: JobOrder, job_id: str, is_in_time: bool, has_progress: bool) -> ItemRank:
    """Return the part that an item starts in; within it, interrupted items and then jobs decide.

    :param is_in_time: whether the item can be in time, see :func:`can_be_in_time`.
    :param has_progress: whether the item has been interrupted after its first event.
    """
    if is_in_time and has_progress:
        return ItemRank.INTERRUPTED
    if job_id not in order.late:
        return ItemRank.PUNCTUAL_JOB
    return ItemRank.IN_TIME if is_in_time else ItemRank.LATE


def move_late_ahead(items: Sequence[Waiting], first_late: int, late_starts: int) -> list[Waiting]:
    """Return the waiting items with some of the late ones moved to the front.

    After a burst of online requests many slots are free at once, and late items must not take them
    all. The number that goes ahead is therefore limited.

    :param items: waiting items by rank.
    :param first_late: index of the first one with the rank ``LATE``.
    :param late_starts: number of late items that go ahead.
    """
    end = first_late + max(0, late_starts)
    return [*items[first_late:end], *items[:first_late], *items[end:]]


def preemption_key(is_in_time: bool, slot_ms: float) -> tuple[bool, float]:
    """Return a sort key of a running item; the last ones are preempted first.

    Work that is nearly completed is kept, since its slot would else be taken again later.

    :param is_in_time: whether the item can be in time.
    :param slot_ms: time for which it has occupied a slot.
    """
    return not is_in_time, -slot_ms


def _select_punctual(jobs: Sequence[JobDemand], slots: float) -> list[JobDemand]:
    """Return the jobs to complete in time, in the order in which their items start.

    Jobs that have begun come first, so that whole jobs are completed; the others follow by due
    time. A job that would be late behind those before it is left out.
    """
    schedule: PunctualSchedule[JobDemand] = PunctualSchedule()
    for job in sorted(jobs, key=_start_key):
        _add_punctual(schedule, slots, job)
    return schedule.jobs


def _select_in_turn(jobs: Sequence[JobDemand], slots: float) -> list[JobDemand]:
    """Return the jobs to complete in time if the accounts choose them in turn.

    The chosen jobs start in the same order as without accounts.
    """
    schedule: PunctualSchedule[JobDemand] = PunctualSchedule()
    take = partial(_add_punctual, schedule, slots)
    take_in_turn(sorted(jobs, key=_start_key), _account_of, _work_of, take)
    return schedule.jobs


def _are_slots_short(
    jobs: Sequence[JobDemand], punctual: Sequence[JobDemand], slots: float
) -> bool:
    """Return whether a job is left out that could be in time without the others."""
    chosen = {job.job_id for job in punctual}
    return any(job.job_id not in chosen and job.work_ms <= _usable_ms(job, slots) for job in jobs)


def _part_slots(punctual: Sequence[JobDemand], slots: float) -> dict[str, float]:
    """Return by account the part of the slots that its jobs get first.

    :param punctual: the jobs to complete in time, in the order in which they start.
    """
    work_ms: Counter[str] = Counter()
    needed: dict[str, float] = {}
    for job in punctual:
        work_ms[job.account] += job.work_ms
        job_slots = work_ms[job.account] / max(1.0, _usable_ms(job, 1.0))
        needed[job.account] = max(needed.get(job.account, 0.0), NEED_MARGIN * job_slots)
    part = max_min_part(slots, needed.values())
    return {account: min(part, demand) for account, demand in needed.items()}


def _add_punctual(schedule: PunctualSchedule[JobDemand], slots: float, job: JobDemand) -> bool:
    return schedule.add(job, _start_key(job), job.work_ms, _usable_ms(job, slots))


def _usable_ms(job: JobDemand, slots: float) -> float:
    """Return the slot time in which a job and those before it have to be completed."""
    margin = BEGUN_ITEM_MARGIN if job.has_begun else ITEM_MARGIN
    return slots * (job.due_in_ms - LISTING_TIME_MS - margin * job.longest_item_ms)


def _share_order(late: Sequence[JobDemand]) -> Sequence[JobDemand]:
    """Return the late jobs in the order in which they start."""
    if not _are_shared(late):
        return late
    ordered: list[JobDemand] = []

    def take(job: JobDemand) -> bool:
        ordered.append(job)
        return True

    take_in_turn(late, _account_of, _work_of, take)
    return ordered


def _are_shared(jobs: Sequence[JobDemand]) -> bool:
    return len({job.account for job in jobs}) > 1


def _start_key(job: JobDemand) -> tuple[bool, float]:
    return not job.has_begun, job.due_in_ms


def _account_of(job: JobDemand) -> str:
    return job.account


def _work_of(job: JobDemand) -> float:
    return job.work_ms


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
