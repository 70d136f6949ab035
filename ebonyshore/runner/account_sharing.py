"""Divides the slots for batch jobs among client accounts, max-min by work. Pure functions.

Load pattern: one account submits many times its usual work, so that not all accepted jobs can be
completed in time, while others go on with little. An account that asks for less than an equal part
of the work that can be done gets all it asks for; what it leaves is divided among the others.
"""

from bisect import bisect
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from heapq import heapify, heappop, heapreplace
from typing import Generic, TypeVar

Item = TypeVar("Item")  # represents a waiting item
Job = TypeVar("Job")  # represents a job


class PunctualSchedule(Generic[Job]):
    """Jobs that run one after the other, and by how much each could still be delayed.

    All amounts are slot time in ms. Jobs can be added in any order.

    :ivar jobs: the jobs in the order in which they run.
    """

    __slots__ = ("_keys", "_limits_ms", "_slacks_ms", "jobs")

    def __init__(self) -> None:
        self.jobs: list[Job] = []
        self._keys: list[tuple] = []
        self._limits_ms: list[float] = []  # work that can be done until each job has to end
        self._slacks_ms: list[float] = []  # what is left of it after the job and those before

    def add(self, job: Job, key: tuple, work_ms: float, limit_ms: float) -> bool:
        """Add a job if all jobs are then still in time; return whether it was added.

        :param key: position among the jobs; those with lower keys run first.
        :param work_ms: work of the job.
        :param limit_ms: work that can be done until the job has to end.
        """
        at = bisect(self._keys, key)
        before_ms = self._limits_ms[at - 1] - self._slacks_ms[at - 1] if at else 0.0
        slack_ms = limit_ms - before_ms - work_ms
        later_ms = self._slacks_ms[at:]
        if slack_ms < 0.0 or min(later_ms, default=work_ms) < work_ms:
            return False
        self._slacks_ms[at:] = [slack_ms, *(later - work_ms for later in later_ms)]
        self._limits_ms.insert(at, limit_ms)
        self._keys.insert(at, key)
        self.jobs.insert(at, job)
        return True


def take_in_turn(
    jobs: Iterable[Job],
    account_of: Callable[[Job], str],
    work_of: Callable[[Job], float],
    take: Callable[[Job], bool],
) -> None:
    """Offer jobs to a function one by one, in an order that divides the work among accounts.

    The next job is that of the account which has the least work taken, the job itself included.

    :param jobs: the jobs; those of one account are offered in this order.
    :param take: returns whether a job is taken. Only then does it count as work of its account.
    """
    queues: dict[str, list[Job]] = {}
    for job in jobs:
        queues.setdefault(account_of(job), []).append(job)
    for queue in queues.values():
        queue.reverse()
    taken = dict.fromkeys(queues, 0.0)
    turns = [(work_of(queue[-1]), account) for account, queue in queues.items()]
    heapify(turns)
    while turns:
        account = turns[0][1]
        queue = queues[account]
        job = queue.pop()
        if take(job):
            taken[account] += work_of(job)
        if queue:
            heapreplace(turns, (taken[account] + work_of(queue[-1]), account))
        else:
            heappop(turns)


def start_in_part(
    items: Sequence[Item],
    account_of: Callable[[Item], str | None],
    running: Mapping[str, int],
    part_slots: Mapping[str, float],
) -> list[Item]:
    """Move the waiting items that accounts need to reach their part of the slots to the front.

    Among these, items of the account that holds the fewest slots come first.

    :param items: waiting items in their order, which is kept for the others.
    :param account_of: returns the account of an item; ``None`` if the item does not go ahead.
    :param running: number of running items by account.
    :param part_slots: slots up to which the items of each account go ahead.
    :return: all items in the new order.
    """
    held = Counter(running)
    ahead: list[tuple[int, int]] = []
    for index, item in enumerate(items):
        account = account_of(item)
        if account is not None and held[account] < part_slots.get(account, 0.0):
            ahead.append((held[account], index))
            held[account] += 1
    first = [index for _, index in sorted(ahead)]
    moved = set(first)
    rest = [item for index, item in enumerate(items) if index not in moved]
    return [*(items[index] for index in first), *rest]


def room_for_account(capacity: float, other_demands: Sequence[float]) -> float:
    """Return how much of a capacity an account gets if it asks for all of it.

    :param other_demands: what each other account asks for.
    """
    return max_min_part(capacity, (*other_demands, capacity))


def max_min_part(capacity: float, demands: Iterable[float]) -> float:
    """Return the most that any account gets of a capacity; those that ask for less get that.

    :param demands: what each account asks for.
    """
    ordered = sorted(demands)
    room, accounts = capacity, len(ordered)
    for demand in ordered:
        if accounts == 1 or demand * accounts > room:
            break
        room -= demand
        accounts -= 1
    return room / max(1, accounts)


def work_until_done(demand: float, other_demands: Iterable[float]) -> float:
    """Return the work done for all accounts until that of one account is done.

    It is the capacity of which :func:`room_for_account` gives the account ``demand``.
    """
    return demand + sum(min(demand, other) for other in other_demands)
