"""Tests of fair shares of the slots, with a replay of accounts that crowd while bursts come."""

from collections import Counter, deque
from heapq import heappop, heappush
from itertools import product
from random import Random

import pytest

from ebonyshore.gateway.balance import (
    TargetLoad,
    choose_target,
    concurrent_choices,
    max_queued_requests,
    retry_after_ms,
)
from ebonyshore.gateway.fair_share import (
    AccountNeed,
    ShareExcess,
    account_weight,
    expected_room,
    find_excess,
    return_delay_ms,
    share_level,
)

LATENCY_MS = 308.0


def room(online, capacity=8, targets=4):
    loads = [TargetLoad(str(number), capacity, online, 0) for number in range(targets)]
    return expected_room(loads[0], loads, 200.0)


def test_request_that_finds_a_slot_is_never_refused():
    needs = {"hot": AccountNeed(1.0, 30, 300.0), "calm": AccountNeed(1.0, 1, 1.0)}
    assert find_excess(room(7), "hot", needs, LATENCY_MS) is None
    assert find_excess(room(20), "hot", needs, LATENCY_MS) is not None


def test_account_within_its_share_may_queue():
    needs = {"hot": AccountNeed(1.0, 70, 300.0), "calm": AccountNeed(1.0, 10, 10.0)}
    assert find_excess(room(20), "calm", needs, LATENCY_MS) is None
    assert find_excess(room(20), "hot", needs, LATENCY_MS).share_slots == 22.0


def test_shares_are_max_min_by_weight():
    needs = [AccountNeed(1.0, 0, 2.0), AccountNeed(1.0, 0, 50.0), AccountNeed(2.0, 0, 50.0)]
    assert share_level(32, needs) == 10.0
    assert share_level(200, needs) == float("inf")
    assert account_weight(0.0, 4.0, 0) == 2 * account_weight(4.0, 4.0, 1)


def test_accounts_above_their_share_are_told_to_return_later_the_more_they_send():
    little, much = ShareExcess(20.0, 0.9), ShareExcess(20.0, 0.2)
    assert return_delay_ms(little, 5_000.0, 1.0) < return_delay_ms(much, 5_000.0, 1.0)
    assert return_delay_ms(much, 100.0, 1.0) == pytest.approx(40.0)


TARGETS = 10
SLOTS = 8
ACCOUNTS = 72
SERVICE_TIMES_MS = (200.0, 600.0)
PREFILL_MS = 40.0
DEADLINE_MS = 5_000.0
LATE_CREDIT = 0.15
RETURN_CREDIT = (1.0 + LATE_CREDIT) / 2.0
NEWS_MS = 40.0  # of the requests at targets
ACCOUNT_NEWS_MS = 150.0
LENGTH_MS = 12_000.0
USUAL_SLOTS = 0.65 * TARGETS * SLOTS
QUOTA = 1.6
HOT_ACCOUNTS = (2, 4, 7, 11)
HOT_MS = (2_000.0, 9_000.0)
LIGHT_ACCOUNTS = range(1, ACCOUNTS, 5)  # send half of their usual, evenly
WEIGHTS = [(rank + 1) ** -1.2 for rank in range(ACCOUNTS)]
ACCOUNT_SLOTS = [USUAL_SLOTS * weight / sum(WEIGHTS) for weight in WEIGHTS]


def arrivals(account, is_crowded, service_ms, seed):
    """Return when requests of an account come that are within its quota."""
    random = Random(seed * ACCOUNTS + account)
    rate, tokens, at_ms, times = ACCOUNT_SLOTS[account] / service_ms, 5.0, 0.0, []
    is_hot = is_crowded and account in HOT_ACCOUNTS
    while at_ms < LENGTH_MS:
        step_ms = random.expovariate(rate * 9.0)
        at_ms += step_ms
        tokens = min(5.0, tokens + step_ms * rate * QUOTA)
        factor = 1.9 if at_ms % 5_800.0 >= 3_400.0 else 0.4
        if account in LIGHT_ACCOUNTS:
            factor = 0.5
        if is_hot and HOT_MS[0] <= at_ms < HOT_MS[1]:
            factor = 9.0
        if random.random() * 9.0 < factor and tokens >= 1.0:
            tokens -= 1.0
            times.append(at_ms)
    return times


class Replay:
    """Entries that place requests of accounts at targets which run them in order of arrival.

    Load pattern: alternating bursts near the number of slots, with four accounts that send nine
    times their usual up to their quotas, while three targets of ten are down.
    """

    def __init__(self, is_fair, is_crowded, service_ms, seed):
        self.is_fair, self.service_ms = is_fair, service_ms
        self.random = Random(seed)
        self.events, self.steps = [], 0
        self.running = [0] * TARGETS
        self.queues = [deque() for _ in range(TARGETS)]
        self.at_targets, self.at_accounts, self.wanted = Counter(), Counter(), Counter()
        self.owed, self.credit, self.served = Counter(), Counter(), Counter()
        self.refusals = 0
        for account in range(ACCOUNTS):
            for at_ms in arrivals(account, is_crowded, service_ms, seed):
                self.owed[account] += 1
                self.at(at_ms, self.ask, account, at_ms, 0)

    def at(self, at_ms, action, *arguments):
        self.steps += 1
        heappush(self.events, (at_ms, self.steps, action, arguments))

    def play(self):
        while self.events:
            at_ms, _, action, arguments = heappop(self.events)
            action(at_ms, *arguments)
        return self

    def count(self, _at_ms, counter, key, change):
        counter[key] += change

    def record(self, at_ms, account, target, change):
        """Let entries learn of a change; the one that made it, among many, makes no difference."""
        self.at(at_ms + NEWS_MS, self.count, self.at_targets, target, change)
        self.at(at_ms + ACCOUNT_NEWS_MS, self.count, self.at_accounts, account, change)

    def ask(self, at_ms, account, first_ms, tries):
        self.at(at_ms + ACCOUNT_NEWS_MS, self.count, self.wanted, account, 1)
        self.at(at_ms + ACCOUNT_NEWS_MS + 1_000.0, self.count, self.wanted, account, -1)
        up = TARGETS - 3 * (4_000.0 <= at_ms < 8_000.0)
        loads = [TargetLoad(str(n), SLOTS, self.at_targets[n], 0) for n in range(up)]
        queue_slots = max_queued_requests(SLOTS, LATENCY_MS, self.service_ms)
        choices = concurrent_choices(loads, self.service_ms)
        chosen = choose_target(loads, queue_slots, choices, self.random.random())
        excess = self.excess(chosen, loads, account) if self.is_fair and chosen else None
        if chosen is None:
            delay_ms = retry_after_ms(loads, self.service_ms, self.random.random())
            self.refuse(at_ms + delay_ms, account, first_ms, tries)
        elif excess is not None and self.random.random() >= excess.admitted_part:
            left_ms = first_ms + DEADLINE_MS - at_ms
            delay_ms = return_delay_ms(excess, left_ms, self.random.random())
            self.refuse(at_ms + delay_ms, account, first_ms, tries)
        else:
            self.place(at_ms, account, int(chosen.target_id), tries)

    def excess(self, chosen, loads, account):
        needs = {
            key: AccountNeed(
                ACCOUNT_SLOTS[key],
                self.at_accounts[key],
                min(self.wanted[key] / 1_000.0 * self.service_ms, ACCOUNT_SLOTS[key] * QUOTA),
            )
            for key in range(ACCOUNTS)
            if self.at_accounts[key] >= 4 or key == account
        }
        return find_excess(
            expected_room(chosen, loads, self.service_ms), account, needs, LATENCY_MS
        )

    def refuse(self, return_ms, account, first_ms, tries):
        self.refusals += 1
        if not tries:
            self.at(return_ms, self.ask, account, first_ms, 1)

    def place(self, at_ms, account, target, tries):
        self.record(at_ms, account, target, 1)
        self.queues[target].append((at_ms, account, tries))
        self.start_next(at_ms, target)

    def start_next(self, at_ms, target):
        if self.running[target] == SLOTS or not self.queues[target]:
            return
        placed_ms, account, tries = self.queues[target].popleft()
        self.running[target] += 1
        self.served[account] += 1
        is_late = at_ms - placed_ms + PREFILL_MS > LATENCY_MS
        self.credit[account] += LATE_CREDIT if is_late else (1.0, RETURN_CREDIT)[tries]
        end_ms = at_ms + self.service_ms * self.random.uniform(0.7, 1.3)
        self.at(end_ms, self.end, account, target)

    def end(self, at_ms, account, target):
        self.running[target] -= 1
        self.record(at_ms, account, target, -1)
        self.start_next(at_ms, target)


SEEDS = range(3)


@pytest.fixture(scope="module", params=SERVICE_TIMES_MS)
def replays(request):
    return {
        kind: [Replay(*kind, request.param, seed).play() for seed in SEEDS]
        for kind in product((False, True), repeat=2)
    }


def credit_of(replays, accounts):
    return sum(replay.credit[account] for replay in replays for account in accounts)


def test_accounts_below_their_share_do_not_notice_the_crowd(replays):
    alone = credit_of(replays[True, False], LIGHT_ACCOUNTS)
    assert credit_of(replays[True, True], LIGHT_ACCOUNTS) >= 0.98 * alone


def test_no_account_is_served_less_than_half_as_often_as_all(replays):
    owed, served = Counter(), Counter()
    for replay in replays[True, True]:
        owed.update(replay.owed)
        served.update(replay.served)
    mean = served.total() / owed.total()
    assert all(served[account] >= mean / 2 * count for account, count in owed.items())


@pytest.mark.parametrize("is_crowded", [False, True])
def test_total_credit_is_not_below_that_of_first_come_first_served(replays, is_crowded):
    accounts = range(ACCOUNTS)
    before = credit_of(replays[False, is_crowded], accounts)
    assert credit_of(replays[True, is_crowded], accounts) >= before
