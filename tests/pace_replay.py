"""Replays requests of many entries at targets that return to service, with the code that decides.

Entries and a runner exchange the real messages, and choose with the real rules. Everything else is
reduced to delays: the time for which a request runs, longer while a target is cold, and the time
until news arrives.
"""

from collections import deque
from heapq import heappop, heappush
from itertools import count
from random import Random

from ebonyshore.gateway.balance import (
    TargetLoad,
    choose_target,
    concurrent_choices,
    limit_returning,
)
from ebonyshore.host.pace import TargetPace
from ebonyshore.host.pace_exchange import PaceExchange
from ebonyshore.host.target import TargetEntry
from ebonyshore.host.targets import TargetTable
from ebonyshore.link.pace_messages import PaceReport

NEWS_MS = 25.0
STEP_MS = 20.0
LISTING_MS = 250.0
WARM_UP_MS = 2_000.0  # in which the entries learn the usual delay
GOAL_MS = 2_000.0  # until a target that can take load is in use
SERVICE_MS = 700.0
TARGET_LATENCY_MS = 300.0
QUEUE_SLOTS = 3


class Server:
    """A target that runs ``capacity`` requests at once and queues as many."""

    def __init__(self, capacity):
        self.capacity = capacity
        self.up_ms = self.warm_ms = 0.0
        self.slow_down = 1.0
        self.running = 0
        self.queue = deque()

    def end_ms(self, start_ms, work_ms):
        cold_ms = max(0.0, self.warm_ms - start_ms)
        return start_ms + min(
            work_ms * self.slow_down, cold_ms + max(0.0, work_ms - cold_ms / self.slow_down)
        )


class Process:
    """The knowledge of one process."""

    def __init__(self, name, entries, process_count):
        self.name = name
        self.table = TargetTable(pace=TargetPace(lambda: process_count))
        self.table.replace_all(entries, 0.0)
        self.pace = self.table.pace
        self.exchange = PaceExchange(name, self.table)
        self.own = [0] * len(entries)
        self.outbox = []

    def send(self, message, _addresses):
        self.outbox.append(message)


class Replay:
    """One day: some targets are down at first, then return, then are warm.

    :ivar used: mean requests in flight at targets that returned, as a share of the demand, around
        two seconds after they can take it.
    :ivar late, sent: requests sent there in these two seconds, and elsewhere.
    """

    def __init__(
        self,
        seed,
        processes,
        targets,
        returning,
        down_ms,
        cold_ms,
        slow_down,
        load=0.8,
        capacity=8,
        first_ms=60.0,
        is_paced=True,
    ):
        self.random = Random(seed)
        self.order = count()
        self.events = []
        self.servers = [Server(capacity) for _ in range(targets)]
        self.first_ms, self.is_paced = first_ms, is_paced
        entries = [self.entry(number, 1) for number in range(targets)]
        self.runner = Process("runner", entries, processes + 1)
        self.entries = [Process(f"e{n}", entries, processes + 1) for n in range(processes)]
        self.returning = set(range(returning))
        self.up_ms = WARM_UP_MS + down_ms
        self.warm_ms = self.up_ms + cold_ms
        for number in self.returning:
            server = self.servers[number]
            server.up_ms, server.warm_ms, server.slow_down = self.up_ms, self.warm_ms, slow_down
        self.interval_ms = SERVICE_MS / (load * capacity * targets)
        self.load = load * capacity
        self.known = [0] * targets
        self.news = deque()
        self.sent = {True: 0, False: 0}
        self.late = {True: 0, False: 0}
        self.cold_late = 0
        self.refused = 0
        self.in_use = []
        self.run()

    def entry(self, number, started_ms):
        return TargetEntry(
            f"t{number}", "svc", "x:1", "fd", self.servers[number].capacity, started_ms=started_ms
        )

    def at(self, time_ms, call, *arguments):
        heappush(self.events, (time_ms, next(self.order), call, arguments))

    def run(self):
        end_ms = self.warm_ms + GOAL_MS + SERVICE_MS / 2
        self.at(0.0, self.arrive)
        self.at(0.0, self.step)
        for process in [self.runner, *self.entries]:
            for number in self.returning:
                self.at(WARM_UP_MS, process.table.remove, f"t{number}", WARM_UP_MS)
                listed_ms = self.up_ms + self.random.random() * LISTING_MS
                self.at(listed_ms, self.list_again, process, number, listed_ms)
        while self.events[0][0] < end_ms:
            self.now_ms, _, call, arguments = heappop(self.events)
            call(*arguments)

    def list_again(self, process, number, now_ms):
        process.table.put(self.entry(number, 2), now_ms)
        if not self.is_paced:
            process.pace.forget(process.table.find(f"t{number}"))

    def step(self):
        """Exchange news: the requests in flight, evidence and limits."""
        now_ms = self.now_ms
        self.news.append([server.running + len(server.queue) for server in self.servers])
        if len(self.news) > 2 * NEWS_MS / STEP_MS:
            self.known = self.news.popleft()
        for process in self.entries:
            process.pace.record_news(now_ms)
            process.exchange.send_evidence(process, [], now_ms)
        self.runner.pace.record_news(now_ms)
        self.runner.exchange.send_limits(self.runner, [], now_ms)
        for process in [*self.entries, self.runner]:
            for message in process.outbox:
                self.at(now_ms + NEWS_MS, self.deliver, message)
            process.outbox.clear()
        if abs(now_ms - self.warm_ms - GOAL_MS) <= SERVICE_MS / 2:
            used = sum(self.news[-1][number] for number in self.returning)
            self.in_use.append(used / (self.load * len(self.returning)))
        self.at(now_ms + STEP_MS, self.step)

    def deliver(self, message):
        if isinstance(message, PaceReport):
            self.runner.exchange.merge_report(message, self.now_ms)
            return
        for process in self.entries:
            process.exchange.adopt_limits(message, self.now_ms)

    def arrive(self):
        self.at(self.now_ms + self.random.expovariate(1.0 / self.interval_ms), self.arrive)
        self.place(self.random.choice(self.entries))

    def place(self, process):
        loads = [
            TargetLoad(
                key,
                target.entry.capacity,
                max(process.own[int(key[1:])], self.known[int(key[1:])]),
                0,
            )
            for key, target in process.table.by_id().items()
        ]
        allowances = {
            load.target_id: allowance
            for load in loads
            if (allowance := self.allowance(process, load)) is not None
        }
        choices = concurrent_choices(loads, SERVICE_MS)
        draw = self.random.random()
        limited = limit_returning(loads, allowances, choices)
        chosen = choose_target(limited, QUEUE_SLOTS, choices, draw)
        chosen = chosen or choose_target(loads, QUEUE_SLOTS, choices, draw)
        if chosen is None:
            self.refused += 1
            return
        number = int(chosen.target_id[1:])
        server = self.servers[number]
        target = process.table.find(chosen.target_id)
        if self.now_ms < server.up_ms and target.entry.started_ms == 1 and self.now_ms > WARM_UP_MS:
            return
        process.own[number] += 1
        request = (process, target, number, self.now_ms)
        if server.running < server.capacity:
            self.begin(server, request)
        else:
            server.queue.append(request)

    def allowance(self, process, load):
        incarnation = process.table.find(load.target_id).incarnation
        return process.pace.allowance(incarnation, load.online, self.now_ms, self.random.random)

    def begin(self, server, request):
        server.running += 1
        work_ms = self.first_ms * self.random.uniform(0.7, 1.3)
        self.at(server.end_ms(self.now_ms, work_ms), self.answer, request)
        work_ms = SERVICE_MS * self.random.uniform(0.5, 1.5)
        self.at(server.end_ms(self.now_ms, work_ms), self.end, server, request)

    def answer(self, request):
        process, target, number, sent_ms = request
        process.pace.record_answer(target, "r1", sent_ms, self.now_ms, TARGET_LATENCY_MS)
        is_late = self.now_ms - sent_ms > max(TARGET_LATENCY_MS / 2, 2 * self.first_ms)
        is_returning = number in self.returning
        if self.warm_ms <= sent_ms <= self.warm_ms + GOAL_MS:
            self.sent[is_returning] += 1
            self.late[is_returning] += is_late
        elif self.up_ms <= sent_ms < self.warm_ms and is_returning:
            self.cold_late += is_late

    def end(self, server, request):
        process, _, number, _ = request
        process.own[number] -= 1
        server.running -= 1
        if server.queue:
            self.begin(server, server.queue.popleft())

    @property
    def used(self):
        return sum(self.in_use) / len(self.in_use)
