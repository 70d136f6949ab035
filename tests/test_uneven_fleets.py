"""Choice among targets of different speed, replayed without a network."""

from collections import Counter, deque
from random import Random

from ebonyshore.gateway.balance import (
    Objective,
    TargetLoad,
    choose_target,
    concurrent_choices,
    max_queued_requests,
)
from ebonyshore.host.target import Target, TargetEntry
from ebonyshore.host.target_speed import UNKNOWN_SPEED, TargetSpeeds

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


def late_streams(speeds, is_informed, seeds=range(2), **options):
    return sum(FleetReplay(speeds, seed, is_informed, **options).play() for seed in seeds)
