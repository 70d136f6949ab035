"""Choice of the target of an online request, and refusals, at the peak of a burst."""

from collections import Counter, deque
from heapq import heappop, heappush
from random import Random

from ebonyshore.gateway.balance import (
    MAX_RETRY_AFTER_MS,
    TargetLoad,
    choose_target,
    concurrent_choices,
    even_shares,
    limit_free_slots,
    max_queued_requests,
    retry_after_ms,
)


def load(target_id, online=0, batch=0, is_local=False, is_avoided=False):
    return TargetLoad(target_id, 8, online, batch, is_local, is_avoided)


def test_free_slots_are_preferred_to_preempting_batch_items():
    loads = [load("full_of_batch", online=0, batch=8), load("free", online=7, batch=0)]
    assert choose_target(loads, 0, 1.0, 0.0).target_id == "free"


def test_without_free_slots_only_online_requests_count():
    """Load pattern: a burst arrives while all slots are occupied, some of them by batch items."""
    loads = [load("t1", online=8, batch=1), load("t2", online=2, batch=6)]
    assert all(choose_target(loads, 5, 1.0, step / 10).target_id == "t2" for step in range(11))


def chosen_share(loads, target_id, draw_count=400):
    draws = [step / draw_count for step in range(draw_count)]
    chosen = [choose_target(loads, 0, 1.0, draw).target_id for draw in draws]
    return chosen.count(target_id) / draw_count


def test_entries_with_the_same_load_reports_spread_their_choices():
    """Load pattern: 27 entries choose within the 40 ms until they learn of each other's choices. If
    all of them chose the emptiest target, ten requests would queue for its six free slots."""
    loads = [load("t1", online=2), load("t2", online=4), load("t3", online=6), load("t4", online=8)]
    assert 0.45 < chosen_share(loads, "t1") < 0.55
    assert 0.28 < chosen_share(loads, "t2") < 0.38
    assert chosen_share(loads, "t4") == 0.0


def test_local_targets_are_preferred_at_equal_load():
    loads = [load("far", online=4), load("near", online=4, is_local=True)]
    assert 0.55 < chosen_share(loads, "near") < 0.65


def test_requests_stay_with_local_targets_until_these_are_loaded():
    """Guards against bytes between failure domains that spare no caller any time."""
    loads = [load("far"), load("near", online=3, is_local=True)]
    assert chosen_share(loads, "near") == 1.0
    assert chosen_share([load("far"), load("near", online=4, is_local=True)], "far") > 0.5
    full = [load("far"), load("near", online=2, batch=6, is_local=True)]
    assert chosen_share(full, "far") == 1.0  # rather than preempt a batch item


def test_queue_length_is_limited_by_the_target_latency():
    assert max_queued_requests(8, 300.0, 700.0) == 2
    assert max_queued_requests(8, 300.0, 100_000.0) == 0
    full = [load("t1", online=10), load("t2", online=9)]
    assert all(choose_target(full, 2, 1.0, step / 10).target_id == "t2" for step in range(11))
    assert choose_target([load("t1", online=10)], 2, 1.0, 0.0) is None


def test_avoided_targets_are_used_only_without_alternative():
    loads = [load("suspect", is_avoided=True), load("busy", online=7)]
    assert all(choose_target(loads, 0, 1.0, step / 10).target_id == "busy" for step in range(11))
    assert choose_target(loads[:1], 0, 1.0, 0.0).target_id == "suspect"


def test_retry_delays_of_refused_callers_are_spread():
    loads = [load("t1", online=16)]
    delays_ms = [retry_after_ms(loads, 700.0, step / 10) for step in range(11)]
    assert delays_ms == sorted(delays_ms) and delays_ms[0] >= 400.0
    assert delays_ms[-1] == MAX_RETRY_AFTER_MS


def test_scarce_free_slots_do_not_attract_all_concurrent_requests():
    """Load pattern: 12 requests are placed before their entries learn of each other, and one slot
    is free. If all were sent there, eleven would queue at one target."""
    loads = [load("free", online=7), *(load(f"t{number}", online=8) for number in range(9))]
    chosen = [choose_target(loads, 2, 12.0, step / 400).target_id for step in range(400)]
    assert 0.12 < chosen.count("free") / 400 < 0.22
    assert all(0.06 < chosen.count(f"t{number}") / 400 < 0.12 for number in range(9))


def test_full_queues_get_no_request_although_free_slots_are_scarce():
    loads = [load("t1", online=10), load("t2", online=8)]
    assert all(choose_target(loads, 2, 9.0, step / 10).target_id == "t2" for step in range(11))


def test_even_shares_fill_the_emptiest_targets_first():
    assert even_shares([3, 1, -2], 2.0) == [2.0, 0.0, 0.0]
    assert even_shares([3, 1, -2], 4.0) == [3.0, 1.0, 0.0]
    assert even_shares([3, 1, -2], 11.0) == [6.0, 4.0, 1.0]


def test_concurrent_choices_follow_from_the_requests_at_the_targets():
    assert concurrent_choices([load("t1", online=8), load("t2", online=6)], 700.0) == 1.0
    assert concurrent_choices([load(f"t{n}", online=7) for n in range(40)], 700.0) == 20.0
    assert concurrent_choices([load("t1", online=8)], 0.0) == 1.0


NEWS_MS = 25.0
SERVICE_MS = 620.0
LATENCY_MS = 308.0
ENTRIES = 58
TARGETS = 42
CAPACITY = 7


class BurstReplay:
    """Entries that place bursts of requests, each knowing the others' choices after a delay.

    Load pattern: 4 s of calm and 2.6 s with a few more requests than the slots can take.

    :param choose: returns the target for the loads that an entry knows.
    """

    def __init__(self, choose, seed):
        self.choose = choose
        self.random = Random(seed)
        self.running = [0] * TARGETS
        self.queues = [deque() for _ in range(TARGETS)]
        self.own = [Counter() for _ in range(ENTRIES)]
        self.known = Counter()  # by target, as of the last news
        self.known_own = [Counter() for _ in range(ENTRIES)]
        self.news = deque()
        self.ends = []
        self.late = 0

    def loads(self, entry):
        others = Counter(self.known)
        others.subtract(self.known_own[entry])
        return [
            TargetLoad(str(target), CAPACITY, others[target] + self.own[entry][target], 0)
            for target in range(TARGETS)
        ]

    def record(self, at_ms, entry, target, change):
        self.own[entry][target] += change
        self.news.append((at_ms + NEWS_MS, entry, target, change))

    def advance(self, at_ms):
        while self.ends and self.ends[0][0] <= at_ms:
            end_ms, entry, target = heappop(self.ends)
            self.record(end_ms, entry, target, -1)
            self.running[target] -= 1
            if self.queues[target]:
                queued_ms, next_entry = self.queues[target].popleft()
                self.start(end_ms, queued_ms, next_entry, target)
        while self.news and self.news[0][0] <= at_ms:
            _, entry, target, change = self.news.popleft()
            self.known[target] += change
            self.known_own[entry][target] += change

    def start(self, at_ms, placed_ms, entry, target):
        self.running[target] += 1
        self.late += at_ms - placed_ms > LATENCY_MS
        service_ms = SERVICE_MS * self.random.uniform(0.7, 1.3)
        heappush(self.ends, (at_ms + service_ms, entry, target))

    def place(self, at_ms):
        entry = self.random.randrange(ENTRIES)
        chosen = self.choose(self.loads(entry), self.random.random())
        if chosen is None:
            return
        target = int(chosen.target_id)
        self.record(at_ms, entry, target, 1)
        if self.running[target] < CAPACITY:
            self.start(at_ms, at_ms, entry, target)
        else:
            self.queues[target].append((at_ms, entry))

    def play(self, length_ms=20_000.0):
        """Return how many requests got a slot after the target latency."""
        at_ms = 0.0
        while at_ms < length_ms:
            requests_per_ms = 0.48 if at_ms % 6_600.0 >= 4_000.0 else 0.1
            at_ms += self.random.expovariate(requests_per_ms)
            self.advance(at_ms)
            self.place(at_ms)
        return self.late


def choose_by_policy(loads, draw):
    queue_slots = max_queued_requests(CAPACITY, LATENCY_MS, SERVICE_MS)
    return choose_target(loads, queue_slots, concurrent_choices(loads, SERVICE_MS), draw)


def choose_free_slots_only(loads, draw):
    queue_slots = max_queued_requests(CAPACITY, LATENCY_MS, SERVICE_MS)
    return choose_target(loads, queue_slots, 1.0, draw)


def test_fewer_requests_are_late_in_bursts_that_fill_a_large_fleet():
    """Guards against queues of several requests beside targets with free slots."""
    seeds = range(3)
    late = sum(BurstReplay(choose_by_policy, seed).play() for seed in seeds)
    late_before = sum(BurstReplay(choose_free_slots_only, seed).play() for seed in seeds)
    assert late <= 0.8 * late_before


def test_scarce_target_is_left_to_bursts():
    """Guards against using up a target's rate limit while other targets have slots."""
    scarce = limit_free_slots(TargetLoad("scarce", 8, 0, 0), 3, is_scarce=True)
    busy = TargetLoad("busy", 8, 2, 6)
    full = TargetLoad("full", 8, 8, 0)
    assert scarce.free_slots == 3
    for draw in (0.0, 0.5, 1.0):
        assert choose_target([scarce, busy], 2, 1.0, draw).target_id == "busy"
        assert choose_target([scarce, full], 2, 1.0, draw).target_id == "scarce"


def test_limit_does_not_add_slots():
    assert limit_free_slots(TargetLoad("t", 8, 7, 0), 3, is_scarce=False).free_slots == 1
