"""Measures how far the admitted rate of a caller is from its limit. Seeded.

Every entry reports every 500 ms at its own phase; reports and answers take 2 ms each.

    .venv/bin/python -m tools.simulate_limits
"""

import argparse
from heapq import heappop, heappush
from itertools import count
from random import Random

from ebonyshore.entry.limits import CallerLimit, CallerLimits
from ebonyshore.entry.rate_coordinator import USAGE_INTERVAL_MS, RateCoordinator

LIMIT = CallerLimit(100.0, 200)
NETWORK_MS = 2.0
DURATION_MS = 60_000.0
WARM_UP_MS = 10_000.0
CALLER = "c"


class Simulation:
    """One caller that sends to random entries at ``demand_per_s``.

    :param home_lost_ms: when the home agent is replaced by one that knows nothing.
    :param outage_ms: time without any home agent.
    :param burst_ms: if not 0, the caller sends for this long, then pauses as long.
    """

    def __init__(
        self,
        entries: int,
        demand_per_s: float,
        seed: int,
        home_lost_ms: float = float("inf"),
        outage_ms: float = 0.0,
        burst_ms: float = 0.0,
    ) -> None:
        self.random = Random(seed)
        self.entries = [CallerLimits(self.random.random()) for _ in range(entries)]
        self.home = RateCoordinator(lambda caller: LIMIT)
        self.demand_per_s = demand_per_s
        self.burst_ms = burst_ms
        self.home_lost_ms = home_lost_ms
        self.home_back_ms = home_lost_ms + outage_ms
        self.admitted_ms: list[float] = []
        self._events: list = []
        self._numbers = count()

    def run(self) -> None:
        """Run for :data:`DURATION_MS`."""
        for entry in range(len(self.entries)):
            self._at(self.random.uniform(0, USAGE_INTERVAL_MS), self._report, entry)
        self._at(0.0, self._request)
        if self.home_lost_ms < DURATION_MS:
            self._at(self.home_lost_ms, self._lose_home)
        while self._events and self._events[0][0] < DURATION_MS:
            now_ms, _, action, arguments = heappop(self._events)
            action(now_ms, *arguments)

    def rate(self, start_ms: float, end_ms: float) -> float:
        """Return the admitted rate in a span."""
        admitted = sum(start_ms <= each < end_ms for each in self.admitted_ms)
        return admitted / (end_ms - start_ms) * 1000

    def _at(self, time_ms: float, action, *arguments) -> None:
        heappush(self._events, (time_ms, next(self._numbers), action, arguments))

    def _request(self, now_ms: float) -> None:
        entry = self.random.randrange(len(self.entries))
        if self.entries[entry].admit(CALLER, LIMIT, now_ms).is_admitted:
            self.admitted_ms.append(now_ms)
        gap_ms = self.random.expovariate(self.demand_per_s / 1000)
        next_ms = now_ms + gap_ms
        if self.burst_ms and int(next_ms / self.burst_ms) % 2:
            next_ms = (int(next_ms / self.burst_ms) + 1) * self.burst_ms
        self._at(next_ms, self._request)

    def _report(self, now_ms: float, entry: int) -> None:
        usages = tuple(self.entries[entry].take_usages(now_ms))
        if usages:
            self._at(now_ms + NETWORK_MS, self._receive, entry, usages)
        self._at(now_ms + USAGE_INTERVAL_MS, self._report, entry)

    def _receive(self, now_ms: float, entry: int, usages: tuple) -> None:
        if self.home_lost_ms <= now_ms < self.home_back_ms:
            return
        shares = self.home.record_usage(str(entry).encode(), usages, now_ms)
        self._at(now_ms + NETWORK_MS, self._apply, entry, shares)

    def _apply(self, now_ms: float, entry: int, shares: tuple) -> None:
        self.entries[entry].apply_shares(shares, now_ms)

    def _lose_home(self, now_ms: float) -> None:
        self.home = RateCoordinator(lambda caller: LIMIT)


def main() -> None:
    """Print one line for each number of entries and demand."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    print("limit 100/s, burst 200; admitted per second after 10 s, and in the first second")
    print("entries  demand/s  admitted/s  error  first second  after home lost (10 s)  2 s bursts")
    for entries in (3, 30, 380):
        for demand in (50.0, 120.0, 200.0, 1_000.0):
            steady = Simulation(entries, demand, arguments.seed)
            steady.run()
            rate = steady.rate(WARM_UP_MS, DURATION_MS)
            target = min(demand, LIMIT.requests_per_s)
            lost = Simulation(entries, demand, arguments.seed, 30_000.0, 3_000.0)
            lost.run()
            bursts = Simulation(entries, 2 * demand, arguments.seed, burst_ms=2_000.0)
            bursts.run()
            print(
                f"{entries:7}  {demand:8.0f}  {rate:10.1f}  {rate / target - 1:+5.1%}"
                f"  {steady.rate(0.0, 1_000.0):12.0f}  {lost.rate(30_000, 40_000):21.1f}"
                f"  {bursts.rate(WARM_UP_MS, DURATION_MS):10.1f}"
            )


if __name__ == "__main__":
    main()
