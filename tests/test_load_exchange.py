"""The load exchange of a large fleet: its cost, its bounds, and messages that are lost or late."""

from random import Random
from time import thread_time

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from msgspec import structs
from msgspec.msgpack import Decoder, Encoder

from ebonyshore.gateway.load_view import LoadView
from ebonyshore.host.event_times import RECENT_HALF_LIFE_MS, USUAL_HALF_LIFE_MS
from ebonyshore.host.pace import TargetPace
from ebonyshore.host.pace_exchange import MAX_TARGETS_PER_DATAGRAM, PaceExchange
from ebonyshore.host.speed_sum import REPORT_LIFETIME_MS, SpeedSum
from ebonyshore.host.target import TargetEntry
from ebonyshore.host.targets import TargetTable
from ebonyshore.link.count_sums import CountSums
from ebonyshore.link.datagrams import Datagram, encode_datagrams
from ebonyshore.link.limit_sums import LimitSums
from ebonyshore.link.load_socket import PACKET_BYTES
from ebonyshore.link.load_table import Incarnation, LoadReport, LoadTable, LoadTotals, TotalsPart
from ebonyshore.link.pace_messages import PaceLimit
from ebonyshore.link.peers import PeerRecord
from ebonyshore.link.report_pacing import min_report_interval_ms
from ebonyshore.link.speed_exchange import (
    ENTRY_BYTES_PER_S,
    REPORT_BYTES,
    RUNNER_BYTES_PER_S,
    SpeedExchange,
)
from ebonyshore.link.target_counts import NO_COUNTS, TargetCounts
from ebonyshore.link.target_speeds import SpeedReport, SpeedUpdate
from ebonyshore.runner import totals_sender
from ebonyshore.runner.account_totals import totals_interval_ms
from ebonyshore.runner.item_plan import PrimaryRunners, assign_primary_runners
from ebonyshore.runner.runner_process import step_pause_ms
from ebonyshore.runner.totals_sender import COMPLETE_INTERVAL_MS, TotalsSender

DOMAINS = 3
NO_LIMITS = LimitSums((), 0, 1)
TARGET = Incarnation("t", 1)


def make_table(target_count):
    table = TargetTable()
    for number in range(target_count):
        domain = f"fd-{number % DOMAINS}"
        table.put(TargetEntry(f"target-{number:05}", "s", "10.1.0.1:1", domain, 8))
    return table


class Fleet:
    """Entries that move their requests about, and the runner that sends them the totals.

    :param reads_parts: whether the entries are of a version that understands parts.
    """

    def __init__(self, entry_count, target_count, requests, reads_parts=True):
        self.random = Random(7)
        self.table = make_table(target_count)
        self.ids = list(self.table.by_id())
        names = [f"e{number:03}" for number in range(entry_count)]
        self.records = {
            name: PeerRecord(
                name, "entry", "10.0.0.1", 1 + number, f"fd-{number % DOMAINS}", "run-1"
            )
            for number, name in enumerate(names)
        }
        self.names = {record.port: name for name, record in self.records.items()}
        self.process_count = entry_count + 1
        self.reads_parts = reads_parts
        self.counts = {name: self._pick(requests) for name in names}
        self.views = {
            name: LoadView(record.failure_domain, lambda: None)
            for name, record in self.records.items()
        }
        self.load_table = LoadTable("r1")
        self.sender = TotalsSender(self, self.table, self.load_table, lambda: 0.0)
        self.encode, self.decoder = Encoder().encode, Decoder(Datagram)
        self.sequence = 0
        self.now_ms = 0.0
        self.sent_bytes = dict.fromkeys(names, 0)
        self.messages = []
        self.is_lost = lambda _name, _message: False
        self.is_delivering = True

    def of_role(self, _role):
        return self.records

    def addresses(self, role):
        if role == "runner":
            return []
        return [(record.host, record.port) for record in self.records.values()]

    def _pick(self, number):
        return dict.fromkeys(self.random.sample(self.ids, number), TargetCounts(1, 0))

    def send(self, message, addresses):
        if not self.is_delivering:
            return len(self.encode(message)) * len(addresses)
        sent_bytes = 0
        for frame in encode_datagrams(message, self.encode, PACKET_BYTES):
            received = self.decoder.decode(frame)
            self.messages.append((len(frame), received))
            for _, port in addresses:
                sent_bytes += len(frame)
                self._deliver(self.names[port], received, len(frame))
        return sent_bytes

    def _deliver(self, name, message, frame_bytes):
        self.sent_bytes[name] += frame_bytes
        if self.is_lost(name, message):
            return
        if isinstance(message, TotalsPart):
            self.views[name].update_part(message, self.now_ms)
        elif isinstance(message, LoadTotals):
            self.views[name].update_totals(message, self.now_ms)

    def make_report(self, name, moves):
        """Let an entry move some requests to other targets and return its report."""
        counts = self.counts[name]
        for target_id in self.random.sample(sorted(counts), moves):
            del counts[target_id]
            free = self.random.sample(self.ids, 2 + len(counts))
            counts[next(key for key in free if key not in counts)] = TargetCounts(1, 0)
        return LoadReport(
            name,
            "run-1",
            self.sequence,
            "entry",
            dict(counts),
            reads_parts=self.reads_parts,
            needs_totals=self.views[name].needs_totals,
        )

    def report(self, moves=0):
        """Let all entries report."""
        self.sequence += 1
        for name in self.counts:
            self.load_table.add_report(self.make_report(name, moves), self.now_ms)

    def names_due(self, at_ms, interval_ms):
        """Return the entries that report in the 20 ms from a time, each once in an interval."""
        slot, slots = at_ms % interval_ms // 20, -(-interval_ms // 20)
        return [name for name, record in self.records.items() if record.port % slots == slot]

    def send_totals(self, now_ms):
        own = LoadReport("r1", "run-1", self.sequence, "runner", {self.ids[0]: TargetCounts(0, 2)})
        self.sender.send(self, own, {"r1": 3}, NO_LIMITS, now_ms, now_ms)

    def step(self, moves=0):
        self.now_ms += 20.0
        self.report(moves)
        self.send_totals(self.now_ms)

    def others(self, name):
        """Return the true counts of all processes but one entry."""
        sums = dict.fromkeys(self.ids, NO_COUNTS)
        for other, counts in self.counts.items():
            for target_id, count in counts.items() if other != name else ():
                sums[target_id] = sums[target_id].plus(count)
        sums[self.ids[0]] = sums[self.ids[0]].plus(TargetCounts(0, 2))
        return sums

    def seen(self, name):
        loads = self.views[name].target_loads(self.table.by_id().values(), self.now_ms)
        return {load.target_id: TargetCounts(load.online, load.batch) for load in loads}

    def assert_all_know(self, names=None):
        for name in names or self.records:
            assert self.seen(name) == self.others(name)


def test_entries_of_a_large_fleet_know_all_counts_when_all_changes_were_sent():
    fleet = Fleet(12, 400, 30)
    for _ in range(20):
        fleet.step(moves=1)
    for _ in range(40):
        fleet.step()
    fleet.assert_all_know()
    parts = [message for _, message in fleet.messages if isinstance(message, TotalsPart)]
    assert len(parts) > len(fleet.messages) - 3 * len(fleet.records)


def test_a_small_fleet_is_sent_complete_totals_every_time():
    fleet = Fleet(4, 40, 10)
    for _ in range(20):
        fleet.step(moves=1)
        fleet.assert_all_know()
    assert all(isinstance(message, LoadTotals) for _, message in fleet.messages)


def test_entries_of_a_version_that_reads_no_parts_are_sent_complete_totals():
    fleet = Fleet(6, 400, 30, reads_parts=False)
    for _ in range(30):
        fleet.step(moves=1)
    fleet.report()
    assert all(isinstance(message, LoadTotals) for _, message in fleet.messages)
    for _ in range(10):
        fleet.step()
    fleet.assert_all_know()


def test_an_entry_that_missed_parts_is_sent_complete_totals_and_no_other_is():
    """Guards against counts that stay wrong until the same target changes again."""
    fleet = Fleet(6, 400, 30)
    for _ in range(60):
        fleet.step(moves=1)
    fleet.messages.clear()
    cut_off = next(iter(fleet.records))
    fleet.is_lost = lambda name, _message: name == cut_off
    for _ in range(5):
        fleet.step(moves=1)
    fleet.is_lost = lambda _name, _message: False
    for _ in range(int(COMPLETE_INTERVAL_MS / 20.0)):
        fleet.step()
    fleet.assert_all_know()
    assert sum(isinstance(message, LoadTotals) for _, message in fleet.messages) == 1


def test_a_runner_that_begins_to_send_sends_complete_totals_first():
    """Guards against entries that know nothing of the load until they have asked for it."""
    fleet = Fleet(6, 400, 30)
    for _ in range(20):
        fleet.step(moves=1)
    fleet.sender.stop()
    fleet.messages.clear()
    fleet.step(moves=1)
    assert [type(message) for _, message in fleet.messages] == [LoadTotals] * 6
    fleet.assert_all_know()


def test_late_and_repeated_parts_are_ignored():
    view = LoadView("fd-0", lambda: None)
    view.update_totals(LoadTotals("r1", "run-1", 1, {"t1": TargetCounts(1, 0)}, {"r1": 0}), 0.0)
    parts = [
        TotalsPart("r1", "run-1", 1 + n, n, {"t1": TargetCounts(10 * n, 0)}) for n in range(1, 4)
    ]
    view.update_part(parts[0], 20.0)
    assert not view.needs_totals and view._totals["t1"].online == 10
    view.update_part(parts[2], 40.0)
    view.update_part(parts[1], 60.0)
    view.update_part(parts[2], 80.0)
    assert view.needs_totals and view._totals["t1"].online == 30
    view.update_totals(LoadTotals("r1", "run-1", 2, {}, {"r1": 0}), 100.0)
    assert view._totals["t1"].online == 30
    view.update_part(TotalsPart("r1", "run-2", 1, 1, {"t1": NO_COUNTS}), 120.0)
    assert view.needs_totals and view._totals["t1"].online == 30


@pytest.mark.parametrize(("entries", "targets", "requests"), [(100, 3_000, 60), (380, 860, 10)])
def test_bytes_of_totals_are_bounded_in_a_large_fleet(entries, targets, requests):
    fleet = Fleet(entries, targets, requests)
    for _ in range(100):
        fleet.step()
    fleet.sent_bytes = dict.fromkeys(fleet.records, 0)
    fleet.messages.clear()
    for _ in range(50):
        fleet.step(moves=1)
    assert max(fleet.sent_bytes.values()) <= 1.1 * totals_sender.ENTRY_BYTES_PER_S
    assert max(frame_bytes for frame_bytes, _ in fleet.messages) <= PACKET_BYTES


def test_an_own_failure_domain_is_known_earlier_than_others():
    fleet = Fleet(60, 1_500, 40)
    for number in range(100):
        fleet.step(moves=number % 3 == 0)
    near_errors, far_errors = 0, 0
    for name, record in fleet.records.items():
        seen, true = fleet.seen(name), fleet.others(name)
        for target_id, target in fleet.table.by_id().items():
            is_wrong = seen[target_id] != true[target_id]
            near = target.entry.failure_domain == record.failure_domain
            near_errors += near and is_wrong
            far_errors += not near and is_wrong
    assert near_errors < 0.4 * far_errors / (DOMAINS - 1)


def test_exchange_of_a_large_fleet_takes_a_small_part_of_a_core():
    """Load pattern: 380 entries and 860 targets, everything changes as often as may be told."""
    entries, step_ms = 380, int(min_report_interval_ms(381))
    fleet = Fleet(entries, 860, 10)
    fleet.sender = TotalsSender(fleet, fleet.table, fleet.load_table)
    exchange, random, used_s = SpeedExchange(fleet, fleet.table), Random(3), 0.0
    fleet.step()
    fleet.is_delivering = False
    targets = list(fleet.table.by_id().values())
    told = int(RUNNER_BYTES_PER_S / (REPORT_BYTES + 12) * step_ms / 1_000.0 / entries) + 1
    for at_ms in range(step_ms, 11 * step_ms, step_ms):
        updates = [
            SpeedUpdate(
                name,
                False,
                tuple(
                    speed_report(target.incarnation, random.uniform(10.0, 90.0), 50.0, 20.0, 9.0)
                    for target in random.sample(targets, told)
                ),
            )
            for name in fleet.records
        ]
        fleet.now_ms = float(at_ms)
        began_s = thread_time()
        for update in updates:
            fleet.table.speeds.merge(update, float(at_ms))
        used_s += thread_time() - began_s
        for now_ms in range(at_ms, at_ms + step_ms, 20):
            fleet.sequence += 1
            moves = [fleet.make_report(name, 1) for name in fleet.names_due(now_ms, step_ms)]
            began_s = thread_time()
            for report in moves:
                fleet.load_table.add_report(report, float(now_ms))
            fleet.send_totals(float(now_ms))
            exchange.send(fleet, float(now_ms), includes_entries=True)
            used_s += thread_time() - began_s
    assert used_s < 0.5 * 10 * step_ms / 1_000.0


def speed_report(incarnation, usual_ms, usual_weight, recent_ms, recent_weight):
    return SpeedReport(incarnation, usual_ms, usual_weight, recent_ms, recent_weight)


TIMES, WEIGHTS = st.floats(1.0, 100.0), st.floats(0.0, 1_000.0)
REPORTS = st.tuples(st.integers(0, 4), st.floats(0.0, 40_000.0), TIMES, WEIGHTS, TIMES, WEIGHTS)


@seed(5)
@settings(max_examples=200, deadline=None)
@given(st.lists(REPORTS, max_size=30))
def test_an_incremental_sum_of_speeds_equals_the_sum_computed_anew(reports):
    found, latest, at_ms = SpeedSum(), {}, 0.0
    for sender, elapsed_ms, *values in reports:
        at_ms += elapsed_ms
        report = speed_report(TARGET, *values)
        found.replace(f"e{sender}", report, at_ms)
        latest[sender] = (at_ms, report)
        total = found.total(TARGET, at_ms)
        kept = [(at_ms - t, r) for t, r in latest.values() if at_ms - t <= REPORT_LIFETIME_MS]
        usual = [(r.usual_ms, r.usual_weight * 0.5 ** (t / USUAL_HALF_LIFE_MS)) for t, r in kept]
        recent = [
            (r.recent_ms, r.recent_weight * 0.5 ** (t / RECENT_HALF_LIFE_MS)) for t, r in kept
        ]
        assert_same_mean(total.usual_ms, total.usual_weight, usual)
        assert_same_mean(total.recent_ms, total.recent_weight, recent)


def assert_same_mean(mean, weight, pairs):
    true_weight = sum(weight for _, weight in pairs)
    assert weight == pytest.approx(true_weight, rel=1e-5, abs=1e-9)
    if true_weight > 1e-6:
        assert mean == pytest.approx(sum(v * w for v, w in pairs) / true_weight, rel=1e-4)


@seed(5)
@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 3),
            st.dictionaries(
                st.sampled_from("abcd"),
                st.builds(TargetCounts, st.integers(0, 5), st.integers(0, 5)),
            ),
        )
    )
)
def test_incremental_sums_of_counts_equal_the_sums_computed_anew(reports):
    sums, latest, known = CountSums(), {}, {}
    for sender, counts in reports:
        sums.replace(f"e{sender}", counts)
        latest[sender] = counts
        true = {}
        for target_id in "abcd":
            online = sum(c[target_id].online for c in latest.values() if target_id in c)
            batch = sum(c[target_id].batch for c in latest.values() if target_id in c)
            if online or batch:
                true[target_id] = TargetCounts(online, batch)
        assert sums.by_target == true
        for target_id in sums.take_changed():
            known[target_id] = true.get(target_id, NO_COUNTS)
        assert {key: count for key, count in known.items() if count != NO_COUNTS} == true


def make_speed_update(sender, table, event_ms):
    reports = tuple(
        speed_report(target.incarnation, event_ms(target), 50.0, event_ms(target), 20.0)
        for target in table.by_id().values()
    )
    return SpeedUpdate(sender, False, reports)


def test_bytes_of_speeds_are_bounded_and_no_target_starves():
    """Load pattern: the speeds of all targets of a large fleet change all the time."""
    fleet = Fleet(2, 2_000, 1)
    exchange = SpeedExchange(fleet, fleet.table)
    random, known = Random(3), set()
    for at_ms in range(0, 40_000, 200):
        update = make_speed_update("e1", fleet.table, lambda _: random.uniform(10.0, 90.0))
        fleet.table.speeds.merge(update, float(at_ms))
        fleet.now_ms = float(at_ms)
        exchange.send(fleet, float(at_ms), includes_entries=True)
    for _, message in fleet.messages:
        known |= {report.incarnation for report in message.reports}
    assert fleet.sent_bytes["e000"] <= 1.05 * ENTRY_BYTES_PER_S * 41
    assert max(frame_bytes for frame_bytes, _ in fleet.messages) <= PACKET_BYTES
    assert len(known) == 2_000


def test_the_largest_change_of_speed_is_told_first():
    fleet = Fleet(2, 900, 1)
    exchange = SpeedExchange(fleet, fleet.table)
    for at_ms in range(0, 20_000, 200):
        fleet.table.speeds.merge(make_speed_update("e1", fleet.table, lambda _: 20.0), at_ms)
        exchange.send(fleet, float(at_ms), includes_entries=True)
    fleet.messages.clear()
    slow = fleet.ids[-1]
    event_ms = {target_id: 30.0 for target_id in fleet.ids} | {slow: 200.0}
    update = make_speed_update("e1", fleet.table, lambda target: event_ms[target.target_id])
    fleet.table.speeds.merge(update, 20_000.0)
    exchange.send(fleet, 20_000.0, includes_entries=True)
    assert fleet.messages[0][1].reports[0].incarnation.target_id == slow


def make_returned(target_count):
    """Return a runner's exchange of the limits of targets that have all just returned."""
    table = TargetTable(pace=TargetPace(lambda: 100))
    table.replace_all([], 0.0)
    for target in make_table(target_count).by_id().values():
        table.put(target.entry, 1.0)
    return table, PaceExchange("r1", table)


def test_bytes_of_limits_are_bounded_when_many_targets_return_at_once():
    table, exchange = make_returned(1_350)
    fleet, known = Fleet(2, 3, 1), set()
    for at_ms in range(0, 30_000, 20):
        exchange.send_limits(fleet, fleet.addresses("entry"), float(at_ms))
    for _, message in fleet.messages:
        known |= {limit.incarnation for limit in message.limits}
    assert fleet.sent_bytes["e000"] <= 13_000.0 * 31
    assert len(known) == 1_350


def test_a_limit_that_changes_goes_before_limits_that_are_repeated():
    table, exchange = make_returned(1_350)
    fleet = Fleet(2, 3, 1)
    for at_ms in range(0, 60_000, 20):
        exchange.send_limits(fleet, fleet.addresses("entry"), float(at_ms))
    changed = next(reversed(table.by_id().values()))
    table.pace.adopt(PaceLimit(changed.incarnation, 5.0, 0.0, False), 8, 60_000.0)
    fleet.messages.clear()
    for at_ms in range(60_000, 60_200, 20):
        exchange.send_limits(fleet, fleet.addresses("entry"), float(at_ms))
    told = [limit.incarnation for _, message in fleet.messages for limit in message.limits]
    assert changed.incarnation in told[:MAX_TARGETS_PER_DATAGRAM]


def test_costly_steps_and_account_totals_leave_time_for_others():
    assert [step_pause_ms(cost_ms) for cost_ms in (0.5, 30.0, 900.0)] == [4.0, 90.0, 250.0]
    intervals = [totals_interval_ms(*use) for use in ((20, 1.0), (20, 15.0), (200, 1.0), (0, 90.0))]
    assert intervals == [100.0, 150.0, 160.0, 250.0]


def test_primary_runners_follow_a_change_of_targets_or_runners():
    primary = PrimaryRunners()
    for ids, runners in (("ab", "xy"), ("abc", "xy"), ("abc", "xyz"), ("bc", "xyz")):
        assert primary.of(list(ids), list(runners)) == assign_primary_runners(ids, runners)


def test_a_target_that_was_started_again_does_not_inherit_a_speed():
    table = make_table(300)
    targets = list(table.by_id().values())
    slow = targets[0]
    table.speeds.merge(make_speed_update("e1", table, lambda t: 90.0 if t is slow else 20.0), 0.0)
    assert table.speeds.estimates(targets, 1.0)[slow.target_id].speed < 0.5
    table.put(structs.replace(slow.entry, started_ms=5), 50.0)
    targets = list(table.by_id().values())
    assert slow.target_id not in table.speeds.estimates(targets, 102.0)
