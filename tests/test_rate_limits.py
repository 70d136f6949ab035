"""Tests of the rate limits that targets name, shared by processes that hear of each other late."""

from heapq import heappop, heappush
from random import Random

import pytest
from msgspec import structs

from ebonyshore.link.load_table import Incarnation, LimitReport
from ebonyshore.link.rate_limits import (
    LIFTED_NEWS_MS,
    LIMIT_WINDOW_MS,
    OTHERS_TIMEOUT_MS,
    RateLimits,
    sum_limits,
)

TARGET = Incarnation("t1", 1)
# The platform's rule for any window.
MAX_RATIO = 1.5
MAX_EXCESS = 5
NEWS_MS = 500.0  # after a process was told the limit, its requests count
MIN_USE = 0.5
NOTHING = LimitReport(Incarnation("t1", 1), None, 0.0, 0.0)
DAY_MS = 24_000.0
REPORT_MS = (20.0, 100.0)  # range of the time between two reports of a process
TOTALS_MS = (20.0, 250.0)  # the same between two totals
LOST_SHARE = 0.1


def make_limits(processes=1, rate_per_s=3.0):
    limits = RateLimits(lambda: processes, 0.0)
    limits.observe(TARGET, rate_per_s, 0.0, "answer")
    return limits


class Replay:
    """Processes that are asked to send to one limited target, and one that sums their reports.

    :param cut: number of processes that neither report nor hear from others.
    """

    def __init__(self, processes, rate_per_s, requests_per_s, cut, seed):
        self.random = Random(seed)
        self.rate_per_s = rate_per_s
        self.processes = processes
        self.cut = cut
        self.limits = [
            RateLimits(lambda: processes, self.random.random()) for _ in range(processes)
        ]
        self.reports = {}
        self.sent_ms = []
        self.events = []
        for limits in self.limits:
            limits.observe(TARGET, rate_per_s, 0.0, "answer")
        at_ms = 0.0
        while (at_ms := at_ms + self.random.expovariate(requests_per_s) * 1_000.0) < DAY_MS:
            self.at(at_ms, self.request, self.random.randrange(processes))
        for number in range(cut, processes):
            self.at(self.random.uniform(*REPORT_MS), self.report, number)
        self.at(self.random.uniform(*TOTALS_MS), self.tell_all, 0)

    def at(self, at_ms, action, number):
        heappush(self.events, (at_ms, len(self.events), self.random.random(), action, number))

    def run(self):
        while self.events:
            at_ms, _, _, action, number = heappop(self.events)
            if at_ms > DAY_MS:
                break
            action(at_ms, number)
        return self

    def request(self, at_ms, number):
        limits = self.limits[number]
        if limits.admit(TARGET, at_ms, self.random.random()):
            limits.record_sent(TARGET, at_ms)
            self.sent_ms.append(at_ms)

    def report(self, at_ms, number):
        if self.random.random() > LOST_SHARE:
            self.reports[number] = self.limits[number].own_reports(at_ms)
        self.at(at_ms + self.random.uniform(*REPORT_MS), self.report, number)

    def tell_all(self, at_ms, _number):
        reports = [report for found in self.reports.values() for report in found]
        unheard = self.processes - len(reports)
        for total in sum_limits(reports, unheard, self.processes).values():
            for number in range(self.cut, self.processes):
                if self.random.random() > LOST_SHARE:
                    own = self.reports.get(number, (NOTHING,))[0]
                    others = structs.replace(
                        total,
                        requests=total.requests - own.requests,
                        wanted_per_s=total.wanted_per_s - own.wanted_per_s,
                    )
                    self.limits[number].update_others("r", [others], at_ms)
        self.at(at_ms + self.random.uniform(*TOTALS_MS), self.tell_all, 0)

    @property
    def most_in_a_window(self):
        sent_ms = [at_ms for at_ms in self.sent_ms if at_ms >= NEWS_MS]
        return max(
            sum(first <= at_ms < first + LIMIT_WINDOW_MS for at_ms in sent_ms)
            for first in (*sent_ms, NEWS_MS)
        )


@pytest.mark.parametrize("rate_per_s", [0.1, 0.5, 3.0, 20.0])
@pytest.mark.parametrize("cut_share", [0.0, 0.3, 1.0])
@pytest.mark.parametrize(
    "processes, requests_per_s", [(3, 60.0), (8, 60.0), (8, 5.0), (60, 60.0), (200, 30.0)]
)
def test_all_processes_together_send_what_the_rule_allows(
    processes, requests_per_s, cut_share, rate_per_s
):
    allowed = MAX_RATIO * rate_per_s * LIMIT_WINDOW_MS / 1_000.0 + MAX_EXCESS
    for seed in range(2):
        cut = int(cut_share * processes)
        replay = Replay(processes, rate_per_s, requests_per_s, cut, seed).run()
        assert replay.most_in_a_window <= allowed
        if not cut:
            wanted = min(rate_per_s, requests_per_s) * DAY_MS / 1_000.0
            assert len(replay.sent_ms) >= MIN_USE * wanted


def test_target_without_a_limit_is_not_limited():
    limits = RateLimits(lambda: 1, 0.0)
    limits.observe(TARGET, None, 0.0, "answer")
    assert limits.allowance(TARGET, 0.0) is None and limits.own_reports(0.0) == ()


def test_limit_ends_with_a_later_response_that_does_not_name_it():
    changes = []
    limits = RateLimits(lambda: 1, 0.0)
    limits.on_change = lambda _incarnation, rate_per_s, source: changes.append((rate_per_s, source))
    limits.observe(TARGET, 3.0, 10.0, "answer")
    limits.update_others("r", [LimitReport(TARGET, None, 15.0, 0.0)], 20.0)
    assert limits.allowance(TARGET, 20.0) is not None
    limits.update_others("r", [LimitReport(TARGET, None, 5.0, 0.0)], 20.0)
    assert limits.allowance(TARGET, 20.0) is None
    assert changes == [(3.0, "answer"), (None, "r")]
    assert limits.own_reports(20.0) != ()
    assert limits.own_reports(16.0 + LIFTED_NEWS_MS) == ()


def test_another_incarnation_has_no_limit():
    assert make_limits().allowance(Incarnation("t1", 2), 0.0) is None


def test_process_that_hears_nothing_of_the_others_sends_its_share_only():
    """Guards against as many times the limit as there are processes."""
    limits = make_limits(processes=6)
    assert limits.allowance(TARGET, 1_999.0) == 0
    assert limits.allowance(TARGET, 2_000.0) == 1
    limits.record_sent(TARGET, 2_000.0)
    assert limits.allowance(TARGET, 3_999.0) == 0
    limits.update_others("r", [LimitReport(TARGET, 3.0, 0.0, 2.0)], 3_000.0)
    assert limits.allowance(TARGET, 3_000.0) == 3
    assert limits.allowance(TARGET, 3_000.0 + OTHERS_TIMEOUT_MS) == 0


def test_items_leave_most_of_the_limit_to_online_requests():
    limits = make_limits()
    sent = 0
    while limits.batch_allowance(TARGET, 0.0):
        limits.record_sent(TARGET, 0.0)
        sent += 1
    assert sent == 3 and limits.allowance(TARGET, 0.0) == 3


@pytest.mark.parametrize("rate_per_s", [0.0, 0.01])
def test_lowest_limit_lets_one_request_find_out_whether_it_still_holds(rate_per_s):
    limits = make_limits(rate_per_s=rate_per_s)
    assert limits.allowance(TARGET, 0.0) == 1 and limits.batch_allowance(TARGET, 0.0) == 1
    limits.record_sent(TARGET, 0.0)
    assert limits.allowance(TARGET, LIMIT_WINDOW_MS - 1.0) == 0
    assert limits.allowance(TARGET, LIMIT_WINDOW_MS) == 1


def test_target_is_scarce_when_most_of_its_limit_is_used():
    limits = make_limits()
    for _ in range(6):
        assert not limits.is_scarce(TARGET, 0.0)
        limits.record_sent(TARGET, 0.0)
    limits.record_sent(TARGET, 0.0)
    assert limits.is_scarce(TARGET, 0.0)
    assert not limits.is_scarce(Incarnation("t2", 1), 0.0)
