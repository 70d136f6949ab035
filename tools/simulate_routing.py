"""Simulates routing rules and compares their load imbalance and prefix cache hits.

Entries know the loads of the targets only from periodic reports. The same seed gives the same
result.

.venv/bin/python tools/simulate_routing.py
"""

import argparse
from collections import OrderedDict
from heapq import heappop, heappush
from itertools import accumulate
from random import Random
from statistics import mean, quantiles

from ebonyshore.entry.membership import Membership, TargetView
from ebonyshore.entry.routing import Router, RouteRequest, online_utilization
from ebonyshore.link.messages import Load

MODEL = "m"
REPORT_INTERVAL_MS = 500.0
SERVICE_MS = 2_000.0
CACHE_HIT_SAVING = 0.3
CACHED_HEADS_PER_TARGET = 64
PROMPT_HEADS = 5_000


class RoutingSimulation:
    """Simulation of entries that route requests to targets with bounded prefix caches.

    The entries' views of the targets lag by up to :data:`REPORT_INTERVAL_MS`. The conversation
    heads of requests follow a Zipf distribution. A request whose head is cached takes less time.

    :param rule: ``least of all``: the least utilized target; ``two random``: the less utilized of
        two random targets; any other value: the rule of :class:`Router`.
    :param targets: number of targets.
    :param entries: number of entries.
    :param load: arrival rate as a share of the capacity of all targets without cache hits.
    :param skew: exponent of the Zipf distribution.
    :param seed: seed of the random numbers.
    """

    def __init__(
        self, rule: str, targets: int, entries: int, load: float, skew: float, seed: int
    ) -> None:
        self.rule = rule
        self.random = Random(seed)
        self.targets = targets
        self.capacity = 32
        self.cumulative_weights = list(
            accumulate((rank + 1) ** -skew for rank in range(PROMPT_HEADS))
        )
        self.running = [0] * targets
        self.caches: list[OrderedDict[int, None]] = [OrderedDict() for _ in range(targets)]
        self.views = [self._make_membership() for _ in range(entries)]
        self.routers = [Router("abc"[number % 3]) for number in range(entries)]
        self.sent_since_report = [[0] * targets for _ in range(entries)]
        self.rate_per_ms = load * targets * self.capacity / SERVICE_MS
        self.hits = 0
        self.requests = 0
        self.samples: list[list[int]] = []

    def run(self, requests: int) -> tuple[float, float, float, float]:
        """Simulate ``requests`` requests.

        :return: 99th percentile and maximum of the targets' loads as a ratio to the mean load, each
            as a mean over samples; share of cache hits; share of requests that reach a full target.
        """
        completions: list[tuple[float, int, int]] = []
        now_ms, next_report_ms, queued = 0.0, 0.0, 0
        for number in range(requests):
            now_ms += self.random.expovariate(self.rate_per_ms)
            while completions and completions[0][0] <= now_ms:
                _, _, target = heappop(completions)
                self.running[target] -= 1
            while next_report_ms <= now_ms:
                self._report_loads(next_report_ms)
                next_report_ms += REPORT_INTERVAL_MS / 5
            head = self.random.choices(range(PROMPT_HEADS), cum_weights=self.cumulative_weights)[0]
            target = self._choose(head, number, now_ms)
            is_hit = self._record_cache_use(target, head)
            self.hits += is_hit
            self.requests += 1
            queued += self.running[target] >= self.capacity
            self.running[target] += 1
            mean_ms = SERVICE_MS * (1 - CACHE_HIT_SAVING * is_hit)
            duration_ms = self.random.expovariate(1 / mean_ms)
            heappush(completions, (now_ms + duration_ms, number, target))
            if number > requests // 4 and number % 50 == 0:
                self.samples.append(list(self.running))
        max_ratios = [max(sample) / max(mean(sample), 0.01) for sample in self.samples]
        p99_ratios = [quantiles(s, n=100)[98] / max(mean(s), 0.01) for s in self.samples]
        return mean(p99_ratios), mean(max_ratios), self.hits / self.requests, queued / requests

    def _make_membership(self) -> Membership:
        membership = Membership()
        for number in range(self.targets):
            view = TargetView(f"t{number}", "", "r", "abc"[number % 3], (MODEL,), incarnation="i")
            membership.set_view(view)
        return membership

    def _report_loads(self, now_ms: float) -> None:
        """Report the loads of all targets to a fifth of the entries, in turn."""
        phase = int(now_ms / (REPORT_INTERVAL_MS / 5)) % 5
        for entry in range(phase, len(self.views), 5):
            self.sent_since_report[entry] = [0] * self.targets
            for number in range(self.targets):
                self._set_view(entry, number, Load(self.running[number], max_running=self.capacity))

    def _set_view(self, entry: int, number: int, load: Load | None) -> None:
        view = self.views[entry].find(f"t{number}")
        self.views[entry].set_view(
            TargetView(
                view.target_id,
                "",
                "r",
                view.failure_domain,
                view.models,
                incarnation="i",
                is_connected=True,
                load=load or view.load,
                in_flight=self.sent_since_report[entry][number],
            )
        )

    def _choose(self, head: int, number: int, now_ms: float) -> int:
        entry = number % len(self.views)
        views = list(self.views[entry].targets().values())
        if self.rule == "least of all":
            chosen = min(views, key=online_utilization)
        elif self.rule == "two random":
            chosen = min(self.random.sample(views, 2), key=online_utilization)
        else:
            digest = f"head{head}"
            request = RouteRequest(MODEL, f"{digest}-{number}", digest)
            chosen = self.routers[entry].choose(request, self.views[entry], now_ms)
        target = int(chosen.target_id[1:])
        self.sent_since_report[entry][target] += 1
        self._set_view(entry, target, None)
        return target

    def _record_cache_use(self, target: int, head: int) -> bool:
        cache = self.caches[target]
        is_hit = head in cache
        cache[head] = None
        cache.move_to_end(head)
        if len(cache) > CACHED_HEADS_PER_TARGET:
            cache.popitem(last=False)
        return is_hit


def main() -> None:
    """Print a table with a line for each rule and fleet size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--requests", type=int, default=8_000)
    arguments = parser.parse_args()
    print("targets entries load skew  rule            p99/mean  max/mean  prefix hits  over room")
    cases = [(10, 3, 0.5, 0.9), (10, 3, 0.8, 0.9), (60, 30, 0.5, 0.9), (60, 30, 0.8, 0.9)]
    for targets, entries, load, skew in [*cases, (60, 30, 0.5, 1.5)]:
        for rule in ("least of all", "two random", "two rendezvous"):
            simulation = RoutingSimulation(rule, targets, entries, load, skew, arguments.seed)
            p99, highest, hits, queued = simulation.run(arguments.requests)
            print(
                f"{targets:7} {entries:7} {load:4} {skew:4}  {rule:15} {p99:8.2f}  {highest:8.2f}"
                f"  {hits:11.3f}  {queued:9.4f}"
            )


if __name__ == "__main__":
    main()
