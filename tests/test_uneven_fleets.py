"""What is learned of the speed of targets, and the choice among targets of different speed."""

from collections import Counter, deque
from random import Random

import pytest

from ebonyshore.gateway.balance import (
    Objective,
    TargetLoad,
    choose_target,
    concurrent_choices,
    max_queued_requests,
)
from ebonyshore.host.content_run import ContentRun
from ebonyshore.host.request_content import RequestContent
from ebonyshore.host.stream_silence import Silence, SilenceScan
from ebonyshore.host.target import Target, TargetEntry
from ebonyshore.host.target_speed import UNKNOWN_SPEED, TargetSpeeds
from ebonyshore.link.target_speeds import SpeedReport, SpeedUpdate

CAPACITY = 8
STEP_MS = 5.0
NEWS_MS = 40.0
EVENTS = 24
EVENT_MS = 18.0  # at a mean target that runs one request
LOAD_EFFECT = 0.08  # share by which one more request lengthens it
SERVICE_MS = 650.0
OBJECTIVE = Objective(310.0, 400.0)
UNEVEN = (0.6, 1.0, 1.6) * 7
UNIFORM = (1.0,) * 21


def make_target(number):
    return Target(TargetEntry(f"t{number}", "svc", "", f"fd-{number % 3}", CAPACITY, started_ms=1))


class Stream:
    __slots__ = ("last_ms", "placed_ms", "progress")

    def __init__(self, placed_ms):
        self.placed_ms = placed_ms
        self.last_ms = None
        self.progress = 0.0


class FleetReplay:
    """Entries of three failure domains that place streams at targets of given speeds.

    Load pattern: bursts of some seconds that come to one of the domains more than to the others,
    while each target is 2.5 times as slow for 15% of the time.

    :param is_informed: whether the choice knows the learned speeds.
    :param news_loss: share of the speed updates that do not arrive.
    """

    def __init__(self, speeds, seed, is_informed, news_loss=0.0, slow_share=0.15):
        self.random = Random(seed)
        self.speeds, self.slow_share = speeds, slow_share
        self.is_informed, self.news_loss = is_informed, news_loss
        self.targets = [make_target(number) for number in range(len(speeds))]
        self.streams = [[] for _ in speeds]  # those beyond the capacity wait
        self.slow_until_ms = [0.0] * len(speeds)
        self.observer, self.entry = TargetSpeeds("r1"), TargetSpeeds("e1")
        self.news = deque()
        self.known = Counter()  # requests at each target, as all entries know
        self.late = self.remote = self.refused = self.placed = 0

    def play(self, length_ms=20_000.0, calm=0.06, burst=0.27):
        """Return how many streams were late or refused."""
        at_ms = 0.0
        while at_ms < length_ms:
            at_ms += STEP_MS
            is_burst = at_ms % 6_000.0 >= 3_500.0
            for _ in range(self._arrivals(burst if is_burst else calm)):
                local = 0 if is_burst and self.random.random() < 0.5 else self.random.randrange(3)
                self._place(at_ms, local)
            self._advance(at_ms)
            self._spread_news(at_ms)
        return self.late + self.refused

    def _arrivals(self, per_ms):
        mean = per_ms * STEP_MS
        return int(mean) + (self.random.random() < mean % 1.0)

    def _loads(self, at_ms, local):
        speeds = self.entry.estimates(self.targets, at_ms) if self.is_informed else {}
        loads = []
        for number, target in enumerate(self.targets):
            known = speeds.get(target.target_id, UNKNOWN_SPEED)
            loads.append(
                TargetLoad(
                    target.target_id,
                    CAPACITY,
                    self.known[number],
                    0,
                    number % 3 == local,
                    speed=known.speed,
                    first_event_ms=EVENT_MS / known.speed,
                    event_ms=known.event_ms,
                )
            )
        return loads

    def _place(self, at_ms, local):
        loads = self._loads(at_ms, local)
        queue_slots = max_queued_requests(CAPACITY, OBJECTIVE.first_event_ms, SERVICE_MS)
        choices = concurrent_choices(loads, SERVICE_MS)
        chosen = choose_target(loads, queue_slots, choices, self.random.random(), OBJECTIVE)
        self.placed += 1
        if chosen is None:
            self.refused += 1
            return
        number = int(chosen.target_id[1:])
        self.remote += number % 3 != local
        self.streams[number].append(Stream(at_ms))
        self.news.append((at_ms + NEWS_MS, number, 1))

    def _advance(self, at_ms):
        for number, streams in enumerate(self.streams):
            running = streams[:CAPACITY]
            self.targets[number].others_running = len(running)
            rate = self._rate(number, at_ms) / (1.0 + LOAD_EFFECT * (len(running) - 1))
            for stream in running:
                self._go_on(stream, number, rate * STEP_MS / EVENT_MS, at_ms)

    def _rate(self, number, at_ms):
        if at_ms >= self.slow_until_ms[number] and self.slow_share:
            mean_ms = 1_500.0
            chance = STEP_MS / mean_ms * self.slow_share / (1 - self.slow_share)
            if self.random.random() < chance:
                self.slow_until_ms[number] = at_ms + self.random.expovariate(1 / mean_ms)
        return self.speeds[number] / (2.5 if at_ms < self.slow_until_ms[number] else 1.0)

    def _go_on(self, stream, number, progress, at_ms):
        events = int(stream.progress + progress) - int(stream.progress)
        stream.progress += progress
        if not events:
            return
        if stream.last_ms is None:
            self.late += at_ms - stream.placed_ms > OBJECTIVE.first_event_ms
        else:
            elapsed_ms = at_ms - stream.last_ms
            self.late += elapsed_ms > OBJECTIVE.max_gap_ms
            target = self.targets[number]
            self.observer.record_events(target, False, elapsed_ms, events, at_ms)
        stream.last_ms = at_ms
        if stream.progress >= EVENTS:
            self.streams[number].remove(stream)
            self.news.append((at_ms + NEWS_MS, number, -1))

    def _spread_news(self, at_ms):
        while self.news and self.news[0][0] <= at_ms:
            _, number, change = self.news.popleft()
            self.known[number] += change
        if at_ms % 200.0 == 0:
            for update in self.observer.merged_updates(at_ms):
                if self.random.random() >= self.news_loss:
                    self.entry.merge(update, at_ms)


def late_streams(speeds, is_informed, burst, seeds=range(2), **options):
    replays = [FleetReplay(speeds, seed, is_informed, **options) for seed in seeds]
    return sum(replay.play(burst=burst) for replay in replays)


def test_fewer_streams_are_late_in_a_fleet_of_three_speeds():
    late_before = late_streams(UNEVEN, is_informed=False, burst=0.2)
    assert late_streams(UNEVEN, is_informed=True, burst=0.2) <= 0.8 * late_before


def test_a_uniform_fleet_loses_nothing():
    options = {"burst": 0.24, "seeds": range(6), "slow_share": 0.0}
    late_before = late_streams(UNIFORM, is_informed=False, **options)
    assert late_streams(UNIFORM, is_informed=True, **options) <= 1.1 * late_before


def test_targets_of_a_uniform_fleet_are_taken_to_be_equally_fast():
    """Guards against differences in load that are mistaken for differences in speed."""
    replay = FleetReplay(UNIFORM, 0, True, slow_share=0.0)
    replay.play(burst=0.24)
    speeds = [known.speed for known in replay.entry.estimates(replay.targets, 20_000.0).values()]
    assert len(speeds) == len(UNIFORM) and min(speeds) > 0.75 and max(speeds) < 1.33


def test_lost_news_of_speeds_do_no_harm():
    late_before = late_streams(UNEVEN, is_informed=False, burst=0.2)
    late = late_streams(UNEVEN, is_informed=True, burst=0.2, news_loss=0.5)
    assert late <= late_before


def test_streams_stay_local_but_for_bursts():
    replay = FleetReplay(UNEVEN, 1, True)
    replay.play(calm=0.05, burst=0.05)
    assert replay.remote <= 0.1 * replay.placed and not replay.late


class Observed:
    """Streams at two targets, seen by one process and reported to another."""

    def __init__(self):
        self.targets = [make_target(0), make_target(1)]
        self.observer, self.entry = TargetSpeeds("r1"), TargetSpeeds("e1")
        self.updates = []

    def stream(self, from_ms, to_ms, second_event_ms):
        for at_ms in range(from_ms, to_ms, 20):
            for target, event_ms in zip(self.targets, (20.0, second_event_ms), strict=True):
                self.observer.record_events(target, True, event_ms, 1, at_ms)
            for update in self.observer.own_updates(at_ms):
                self.entry.merge(update, at_ms)
                self.updates.append(update)

    def second(self, at_ms):
        return self.entry.estimates(self.targets, at_ms)["t1"]


def test_a_target_that_turns_slow_for_a_time_is_told_from_a_slow_one():
    fleet = Observed()
    fleet.stream(0, 20_000, 20.0)
    fleet.stream(20_000, 22_000, 50.0)
    slow = fleet.second(22_000.0)
    assert slow.speed < 0.6 and slow.usual_speed > 0.8
    fleet.stream(22_000, 25_000, 20.0)
    assert fleet.second(25_000.0).speed > 0.8


def test_without_new_evidence_a_target_counts_as_fast_as_usual_and_later_as_any_other():
    fleet = Observed()
    fleet.stream(0, 20_000, 40.0)
    fleet.stream(20_000, 21_000, 100.0)
    assert fleet.second(21_000.0).speed < 0.5
    late = fleet.second(31_000.0)
    assert late.speed == pytest.approx(late.usual_speed, rel=0.01)
    assert fleet.entry.estimates(fleet.targets, 400_000.0) == {}


def test_an_unchanged_speed_is_reported_seldom():
    fleet = Observed()
    fleet.stream(0, 30_000, 40.0)
    assert sum(len(update.reports) for update in fleet.updates) <= 2 * 6


def test_a_false_report_of_one_process_does_not_exclude_a_target():
    """Guards against a peer whose clock or network makes a target look ten times as slow."""
    fleet = Observed()
    fleet.stream(0, 20_000, 20.0)
    report = SpeedReport(fleet.targets[1].incarnation, 200.0, 20.0, 200.0, 3.0)
    fleet.entry.merge(SpeedUpdate("e2", True, (report,)), 20_000.0)
    assert fleet.second(20_100.0).speed > 0.25
    assert fleet.second(23_000.0).speed > 0.8


def test_queued_requests_go_where_the_next_slot_is_free_first():
    slow = TargetLoad("slow", CAPACITY, 8, 0, speed=0.6)
    fast = TargetLoad("fast", CAPACITY, 9, 0, speed=1.6)
    chosen = [choose_target([slow, fast], 2, 1.0, n / 100).target_id for n in range(101)]
    assert chosen.count("fast") > 85


def test_late_answers_are_avoided_while_others_have_slots():
    slow = TargetLoad("slow", CAPACITY, 0, 0, speed=0.2, event_ms=300.0)
    busy = TargetLoad("busy", CAPACITY, 2, 6)
    assert choose_target([slow, busy], 2, 1.0, 0.1, OBJECTIVE).target_id == "busy"
    full = TargetLoad("full", CAPACITY, 8, 0)
    assert choose_target([slow, full], 2, 1.0, 0.1, OBJECTIVE).target_id == "slow"


def test_a_target_whose_streams_fall_silent_is_avoided_by_processes_that_have_none_there():
    """Load pattern: a target stops answering, and its entry stays in the list for seconds."""
    fleet = Observed()
    fleet.stream(0, 20_000, 20.0)
    silent = fleet.targets[1]
    for silence_ms in (300.0, 550.0):
        now_ms = 20_000.0 + silence_ms
        fleet.observer.record_silence(silent, True, silence_ms, now_ms)
        for update in fleet.observer.own_updates(now_ms):
            fleet.entry.merge(update, now_ms)
    estimate = fleet.second(20_600.0)
    load = TargetLoad("t1", CAPACITY, 0, 0, speed=estimate.speed, event_ms=estimate.event_ms)
    assert not load.keeps(Objective(310.0, 400.0))
    fleet.stream(20_700, 23_000, 20.0)
    assert fleet.second(23_000.0).speed > 0.8


def test_a_pause_of_this_process_is_no_silence_of_targets():
    """Guards against a frozen process that makes all targets look slow when it wakes."""
    target = make_target(0)
    run = ContentRun(target, RequestContent("c", ()), 0.0)
    run.record_event(0.0)
    scan = SilenceScan(500.0)
    scan.scan({target: [run]}, 0.0)
    assert scan.scan({target: [run]}, 3_000.0) == []
    assert scan.scan({target: [run]}, 3_250.0) == [Silence(target, False, 3_250.0)]
