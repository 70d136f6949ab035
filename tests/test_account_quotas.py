"""Tests of the quotas of client accounts, shared by entries that hear of each other late.

The replay takes every decision with the product's own code; messages are lost, late and doubled.
"""

from heapq import heappop, heappush
from random import Random

import pytest

from ebonyshore.link.account_ledger import LISTED_RUNNING, AccountBucket, AccountLedger
from ebonyshore.link.account_limit import QuotaRule, make_limit
from ebonyshore.link.account_quotas import AccountQuotas

RULE = QuotaRule(5_000.0, 0.1, 20.0)
DAY_MS = 24_000.0
PERIOD_MS = 100.0
SETTLE_MS = 3_000.0  # from the start on, and after each trouble, until entries are in touch again
LOST_SHARE = 0.05
DOUBLED_SHARE = 0.05
CONFIG_MS = 2_000.0  # within which each process learns of new limits
DELAY_MS = (1.0, 12.0)
MAX_WRONG_REFUSALS = 0.001


class Source:
    """The load of one account.

    :param surge: what it sends at times, as a multiple of its mean; ``None`` if it stays within
        a token bucket of its limit.
    :param entries: the entries at which its requests arrive.
    """

    def __init__(self, name, rate_per_s, burst, use, surge, entries):
        self.name, self.rate_per_s, self.burst = name, rate_per_s, burst
        self.mean_per_s, self.surge, self.entries = use * rate_per_s, surge, entries
        self.tokens, self.tokens_ms = burst, 0.0

    def allows(self, at_ms):
        """Whether a request at a time stays within the account's own bucket."""
        tokens = self.tokens + self.rate_per_s * (at_ms - self.tokens_ms) / 1_000.0
        self.tokens, self.tokens_ms = min(self.burst, tokens), at_ms
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Replay:
    """Entries that are asked to admit requests, and runners that keep the buckets."""

    def __init__(self, entries, sources, seed, runners=2, lost=LOST_SHARE):
        self.random = Random(seed)
        self.lost = lost
        self.sources = sources
        self.limits = {s.name: make_limit(s.rate_per_s, s.burst, RULE) for s in sources}
        self.first_limits = self.limits
        self.entry_names = [f"e{number}" for number in range(entries)]
        self.incarnations = 0
        self.entries, self.runners = {}, {}
        self.events, self.steps = [], 0
        self.stopped, self.cut = set(), set()
        self.woken_ms = {}
        self.admitted = {s.name: [] for s in sources}
        self.asked = self.refused = 0
        self.troubled_ms = {}
        self.reported_ms = {}
        self.changes = []
        for name in self.entry_names:
            self.start_entry(name)
        for number in range(runners):
            self.start_runner(f"r{number}", 0.0)
        for name in self.entry_names:
            self.at(self.random.uniform(0.0, PERIOD_MS), self.report, name)
        for name in list(self.runners):
            self.at(self.random.uniform(0.0, PERIOD_MS), self.tell, name)
        for source in sources:
            self.add_requests(source)

    def start_entry(self, name):
        self.incarnations += 1
        count = len(self.entry_names)
        quotas = AccountQuotas(name, str(self.incarnations), lambda: count, self.random)
        quotas.apply_limits(self.limits)
        self.entries[name] = quotas

    def start_runner(self, name, _at_ms):
        self.incarnations += 1
        self.runners[name] = AccountLedger(str(self.incarnations))
        self.runners[name].apply_limits(self.limits)

    def add_requests(self, source):
        """Let the rate alternate between 0.4 and 1.9 of the mean, with surges of some accounts."""
        at_ms = self.random.uniform(0.0, 200.0)
        while at_ms < DAY_MS:
            factor = 1.9 if int(at_ms / 3_000.0) % 2 else 0.4
            if source.surge and int(at_ms / 4_000.0 + len(source.name)) % 3 == 1:
                factor = source.surge
            at_ms += self.random.expovariate(source.mean_per_s * factor) * 1_000.0
            if source.surge or source.allows(at_ms):
                self.at(at_ms, self.request, source)

    def at(self, at_ms, action, *arguments):
        self.steps += 1
        heappush(self.events, (at_ms, self.steps, action, arguments))

    def run(self):
        while self.events:
            at_ms, _, action, arguments = heappop(self.events)
            if at_ms > DAY_MS:
                break
            action(at_ms, *arguments)
        return self

    def trouble(self, names, until_ms):
        """Note a trouble; until a while after it the processes are not in touch."""
        for name in names:
            known_ms = self.troubled_ms.get(name, 0.0)
            self.troubled_ms[name] = max(known_ms, until_ms + SETTLE_MS)

    def is_in_touch(self, at_ms, name):
        """Whether an entry and all runners have been without trouble for some time."""
        return all(
            at_ms > self.troubled_ms.get(process, SETTLE_MS) for process in (name, *self.runners)
        )

    def change_limits(self, at_ms, factor):
        """Change all limits; each process learns of it within :data:`CONFIG_MS`."""
        rates = {s.name: s.rate_per_s * factor for s in self.sources}
        bursts = {s.name: s.burst * factor for s in self.sources}
        self.limits = {name: make_limit(rates[name], bursts[name], RULE) for name in rates}
        self.changes.append((at_ms, self.limits))
        for name in (*self.entry_names, *self.runners):
            self.at(at_ms + self.random.uniform(0.0, CONFIG_MS), self.apply_limits, name)

    def apply_limits(self, _at_ms, name):
        (self.entries.get(name) or self.runners[name]).apply_limits(self.limits)

    def request(self, at_ms, source):
        name = self.random.choice(source.entries)
        if name in self.stopped:
            return
        refusal = self.entries[name].admit(source.name, at_ms)
        if refusal is None:
            self.admitted[source.name].append(at_ms)
        elif refusal.retry_after_ms <= 0.0:
            raise AssertionError("no retry delay")
        if not source.surge and self.is_in_touch(at_ms, name):
            self.asked += 1
            self.refused += refusal is not None

    def send(self, at_ms, sender, receiver, action, *arguments):
        if sender in self.cut or receiver in self.cut:
            return
        for _ in range(1 + (self.random.random() < DOUBLED_SHARE)):
            if self.random.random() >= self.lost:
                delay_ms = self.random.uniform(*DELAY_MS)
                if self.random.random() < 0.02:
                    delay_ms += self.random.uniform(0.0, 300.0)
                self.at(at_ms + delay_ms, self.deliver, receiver, action, *arguments)

    def deliver(self, at_ms, receiver, action, *arguments):
        if receiver in self.stopped:  # a frozen process finds the message when it wakes
            if receiver in self.woken_ms:
                self.at(self.woken_ms[receiver], self.deliver, receiver, action, *arguments)
            return
        action(at_ms, receiver, *arguments)

    def report(self, at_ms, name):
        self.at(at_ms + PERIOD_MS, self.report, name)
        if name in self.stopped:
            return
        quotas = self.entries[name]
        if (
            not quotas.is_report_urgent(at_ms)
            and at_ms - self.reported_ms.get(name, 0.0) < 1.5 * PERIOD_MS
        ):
            return
        self.reported_ms[name] = at_ms
        usage = quotas.next_usage(at_ms)
        informed = self.entries[name].is_informed(at_ms)
        for runner in self.runners:
            if not informed or runner == self.source_of(name):
                self.send(at_ms, name, runner, self.hear, usage)

    def source_of(self, name):
        source = self.entries[name].source
        found = [key for key, ledger in self.runners.items() if ledger.incarnation == source]
        return found[0] if found else None

    def hear(self, at_ms, runner, usage):
        self.runners[runner].add(usage, at_ms)

    def tell(self, at_ms, runner):
        self.at(at_ms + PERIOD_MS, self.tell, runner)
        alive = sorted(name for name in self.runners if name not in self.stopped)
        if runner in self.stopped or runner != alive[0]:
            return
        totals = self.runners[runner].totals(set(self.entry_names), at_ms)
        for name, message in sorted(totals.items()):
            self.send(at_ms, runner, name, self.learn, message)

    def learn(self, at_ms, name, message):
        self.entries[name].update(message, at_ms)

    def stop_all(self, at_ms, names, until_ms, is_kill):
        """Kill or freeze processes, and start or wake them again."""
        self.trouble(names, until_ms)
        self.stopped |= set(names)
        if not is_kill:
            self.woken_ms |= dict.fromkeys(names, until_ms)
        self.at(until_ms, self.start_all, names, is_kill)

    def start_all(self, at_ms, names, is_kill):
        self.stopped -= set(names)
        for name in names:
            self.woken_ms.pop(name, None)
            if is_kill and name in self.runners:
                self.start_runner(name, at_ms)
            elif is_kill:
                self.start_entry(name)

    def cut_off(self, at_ms, names, until_ms):
        self.trouble(names, until_ms)
        self.cut |= set(names)
        self.at(until_ms, self.join, names)

    def join(self, _at_ms, names):
        self.cut -= set(names)

    def worst_use(self, source):
        """Return the highest part of the allowed excess that a span used; the rule allows 1.

        A lower limit holds for spans that begin one window after all processes have learned of it.
        """
        worst = -1.0
        phases = [(0.0, self.first_limits), *self.changes]
        times_ms = self.admitted[source.name]
        for number, (since_ms, limits) in enumerate(phases):
            last_ms = phases[number + 1][0] if number + 1 < len(phases) else DAY_MS
            limit = limits[source.name]
            if number and limit.rate_per_s < phases[number - 1][1][source.name].rate_per_s:
                since_ms += CONFIG_MS + RULE.window_ms
            allowed = limit.rate_per_s * RULE.window_ms / 1_000.0 + limit.burst
            spans = [at_ms for at_ms in times_ms if since_ms <= at_ms < last_ms]
            worst = max(worst, (most_in_a_window(spans) - allowed) / limit.excess)
        return worst


def most_in_a_window(times_ms):
    most = first = 0
    for last, at_ms in enumerate(times_ms):
        while at_ms - times_ms[first] >= RULE.window_ms:
            first += 1
        most = max(most, last - first + 1)
    return most


def make_sources(random, entries, count, surging=0.4, most=9.0):
    """Return accounts of skewed sizes; some send up to ``most`` times their usual at times."""
    names = [f"e{number}" for number in range(entries)]
    sources = []
    for number in range(count):
        rate_per_s = max(1.0, 70.0 / (1 + number) ** 0.8)
        surge = random.uniform(4.0, most) if random.random() < surging else None
        few = random.sample(names, min(2, entries)) if random.random() < 0.4 else names
        sources.append(Source(f"a{number}", rate_per_s, 0.4 * rate_per_s + 2.0, 0.5, surge, few))
    return sources


def add_troubles(replay, kinds, count=3):
    """Let some or all processes be cut off, killed or frozen at any time."""
    random = replay.random
    names = [*replay.entry_names, *replay.runners]
    for _ in range(count):
        at_ms = random.uniform(2_000.0, DAY_MS - 6_000.0)
        until_ms = at_ms + random.uniform(300.0, 4_000.0)
        found = (
            names
            if random.random() < 0.3
            else random.sample(names, random.randint(1, min(4, len(names))))
        )
        kind = random.choice(kinds)
        if kind == "cut":
            replay.at(at_ms, replay.cut_off, found, until_ms)
        else:
            replay.at(at_ms, replay.stop_all, found, until_ms, kind == "kill")


def replay_day(entries, accounts, kinds, seed, factor=None, most=9.0):
    sources = make_sources(Random(seed), entries, accounts, most=most)
    replay = Replay(entries, sources, seed)
    if kinds:
        add_troubles(replay, kinds)
    if factor is not None:
        replay.at(9_000.0, replay.change_limits, factor)
    return replay.run()


def worst_use(replay):
    return max(replay.worst_use(source) for source in replay.sources)


@pytest.mark.parametrize("entries, accounts", [(1, 2), (4, 12), (18, 24), (100, 12)])
@pytest.mark.parametrize("kinds", [[], ["cut"], ["kill"], ["freeze"], ["cut", "kill", "freeze"]])
def test_no_span_exceeds_the_rule_and_nobody_within_its_limit_is_refused(entries, accounts, kinds):
    replay = replay_day(entries, accounts, kinds, seed=len(kinds) + entries)
    assert worst_use(replay) <= 1.0
    assert replay.refused <= MAX_WRONG_REFUSALS * replay.asked


@pytest.mark.parametrize("factor", [0.4, 2.0])
@pytest.mark.parametrize("kinds", [[], ["cut", "kill", "freeze"]])
def test_changed_limits_hold_one_window_later(kinds, factor):
    assert worst_use(replay_day(12, 16, kinds, seed=3, factor=factor)) <= 1.0


def inform(quotas, ledger, now_ms=0.0):
    """Let an entry report and learn the totals at once."""
    ledger.add(quotas.next_usage(now_ms), now_ms)
    return ledger.totals({"e0"}, now_ms)["e0"]


def make_quotas(entry_count=6, rate_per_s=6.0, burst=3.0):
    limits = {"a0": make_limit(rate_per_s, burst, RULE)}
    quotas = AccountQuotas("e0", "run-1", lambda: entry_count, Random(1))
    quotas.apply_limits(limits)
    ledger = AccountLedger("run-r")
    ledger.apply_limits(limits)
    return quotas, ledger


def admitted_in(quotas, first_ms, last_ms, step_ms=10.0):
    times_ms = [first_ms + step_ms * n for n in range(int((last_ms - first_ms) / step_ms))]
    return sum(quotas.admit("a0", at_ms) is None for at_ms in times_ms)


def test_entry_without_news_admits_its_share_and_saves_nothing_up():
    """Guards against as many times the limit as there are entries."""
    quotas, _ = make_quotas()
    assert admitted_in(quotas, 0.0, 20_000.0) in (19, 20, 21)
    assert admitted_in(quotas, 60_000.0, 60_500.0) <= 1


def test_entry_that_does_not_know_how_many_there_are_admits_nothing():
    quotas, _ = make_quotas(entry_count=0)
    assert admitted_in(quotas, 0.0, 5_000.0) == 0


def test_totals_that_waited_for_a_frozen_entry_are_not_fresh():
    quotas, ledger = make_quotas()
    totals = inform(quotas, ledger)
    assert not quotas.update(totals, 4_000.0) and not quotas.is_informed(4_000.0)
    totals = inform(quotas, ledger, 4_100.0)
    assert quotas.update(totals, 4_110.0) and quotas.is_informed(4_110.0)


def test_doubled_and_late_reports_count_once():
    quotas, ledger = make_quotas()
    ledger.add(quotas.next_usage(0.0), 0.0)
    admitted = admitted_in(quotas, 1.0, 900.0)
    report = quotas.next_usage(900.0)
    assert admitted and ledger.add(report, 900.0) and not ledger.add(report, 910.0)
    level = ledger.dump()["a0"]
    later = quotas.next_usage(920.0)
    assert ledger.add(later, 920.0) and not ledger.add(report, 930.0)
    assert ledger.dump()["a0"] == level


def test_entry_is_heard_again_after_a_late_report_of_its_run_before():
    before, ledger = make_quotas()
    late = before.next_usage(0.0)
    present = AccountQuotas("e0", "run-2", lambda: 6, Random(1))
    ledger.add(present.next_usage(0.0), 0.0)
    ledger.add(late, 10.0)
    assert any(ledger.add(present.next_usage(at_ms), at_ms) for at_ms in range(100, 1_500, 100))


def test_refused_caller_that_returns_as_told_is_admitted():
    quotas, ledger = make_quotas()
    ledger.add(quotas.next_usage(0.0), 0.0)
    refusal, at_ms = None, 0.0
    while refusal is None:
        at_ms += 1.0
        quotas.update(inform(quotas, ledger, at_ms), at_ms)
        refusal = quotas.admit("a0", at_ms)
    assert refusal.level is not None and 0.0 < refusal.retry_after_ms < 1_000.0
    back_ms = at_ms + refusal.retry_after_ms
    quotas.update(inform(quotas, ledger, back_ms - 1.0), back_ms - 1.0)
    assert quotas.admit("a0", back_ms) is None


@pytest.mark.parametrize("is_kill", [True, False])
def test_restart_of_all_processes_does_not_double_a_limit(is_kill):
    replay = Replay(18, make_sources(Random(5), 18, 12, surging=1.0), seed=5)
    names = [*replay.entry_names, *replay.runners]
    for at_ms in (5_000.0, 9_500.0, 14_000.0):
        replay.at(at_ms, replay.stop_all, names, at_ms + 300.0, is_kill)
    assert worst_use(replay.run()) <= 1.0


def test_requests_of_others_are_part_of_the_use_by_the_fleet():
    quotas, ledger = make_quotas()
    other = AccountQuotas("e1", "run-2", lambda: 6, Random(1))
    for _ in range(LISTED_RUNNING):
        other.record_start("a0", 0.0)
    ledger.add(other.next_usage(0.0), 0.0)
    quotas.record_start("a0", 0.0)
    quotas.update(inform(quotas, ledger), 0.0)
    assert quotas.fleet_use("a0", 0.0).running == LISTED_RUNNING + 1


def test_callers_are_not_told_to_wait_for_longer_than_a_window():
    quotas, _ = make_quotas()
    delays_ms = [quotas.admit("a0", at_ms) for at_ms in range(2_000)]
    assert max(found.retry_after_ms for found in delays_ms if found) <= RULE.window_ms


def test_smallest_limit_admits_single_requests():
    limit = make_limit(0.5, 0.0, QuotaRule(5_000.0, 0.0, 0.0))
    assert limit.burst + limit.debt >= 1.0


def test_request_that_has_not_run_is_given_back():
    """Guards against callers who are over their limit because the targets were busy."""
    quotas, ledger = make_quotas()
    ledger.add(quotas.next_usage(0.0), 0.0)
    for at_ms in range(1, 5_000, 10):
        quotas.update(inform(quotas, ledger, at_ms), at_ms)
        assert quotas.admit("a0", at_ms) is None
        quotas.give_back("a0", at_ms)
    assert ledger.dump()["a0"] == 3.0


def test_tokens_that_were_never_subtracted_are_not_given_back():
    """Guards against a limit that grows while the targets refuse a surge."""
    limit = make_limit(10.0, 5.0, RULE)
    bucket = AccountBucket(0.0, 0.0)
    bucket.take(limit.excess + 30.0, limit)
    bucket.take(-limit.excess - 30.0, limit)
    assert bucket.level == 0.0
    bucket.refill(limit, 10.0, 100.0)
    assert bucket.level == 1.0
