"""Simulates the distributed rate limit and compares a caller's admitted rate with the limit.

Every entry reports its usage to the rate coordinator every 500 ms, each at its own phase; reports
and answers take 2 ms each. The same seed gives the same result.

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


class LimitSimulation:
    """Simulation of one caller whose requests arrive at random entries.

    :param entries: number of entries.
    :param demand_per_s: mean request rate of the caller; the intervals are exponentially
        distributed.
    :param seed: seed of the random numbers.
    :param coordinator_lost_ms: time at which the rate coordinator is replaced by one without state.
    :param outage_ms: time after the loss for which no coordinator receives reports.
    :param burst_ms: if not 0, the caller alternates between sending and pausing, each for this
        long.
    """

    def __init__(
        self,
        entries: int,
        demand_per_s: float,
        seed: int,
        coordinator_lost_ms: float = float("inf"),
        outage_ms: float = 0.0,
        burst_ms: float = 0.0,
    ) -> None:
        self.random = Random(seed)
        self.entries = [CallerLimits(self.random.random()) for _ in range(entries)]
        self.coordinator = RateCoordinator(lambda caller: LIMIT)
        self.demand_per_s = demand_per_s
        self.burst_ms = burst_ms
        self.coordinator_lost_ms = coordinator_lost_ms
        self.coordinator_back_ms = coordinator_lost_ms + outage_ms
        self.admission_times_ms: list[float] = []
        self._events: list = []
        self._sequence = count()

    def run(self) -> None:
        """Run the simulation for :data:`DURATION_MS` of simulated time."""
        for entry in range(len(self.entries)):
            self._schedule(self.random.uniform(0, USAGE_INTERVAL_MS), self._report_usage, entry)
        self._schedule(0.0, self._send_request)
        if self.coordinator_lost_ms < DURATION_MS:
            self._schedule(self.coordinator_lost_ms, self._replace_coordinator)
        while self._events and self._events[0][0] < DURATION_MS:
            now_ms, _, action, arguments = heappop(self._events)
            action(now_ms, *arguments)

    def admitted_rate(self, start_ms: float, end_ms: float) -> float:
        """Return the admitted requests per second from ``start_ms`` to ``end_ms``."""
        admitted = sum(start_ms <= at_ms < end_ms for at_ms in self.admission_times_ms)
        return admitted / (end_ms - start_ms) * 1000

    def _schedule(self, time_ms: float, action, *arguments) -> None:
        heappush(self._events, (time_ms, next(self._sequence), action, arguments))

    def _send_request(self, now_ms: float) -> None:
        entry = self.random.randrange(len(self.entries))
        if self.entries[entry].admit(CALLER, LIMIT, now_ms).is_admitted:
            self.admission_times_ms.append(now_ms)
        interval_ms = self.random.expovariate(self.demand_per_s / 1000)
        next_ms = now_ms + interval_ms
        if self.burst_ms and int(next_ms / self.burst_ms) % 2:
            next_ms = (int(next_ms / self.burst_ms) + 1) * self.burst_ms
        self._schedule(next_ms, self._send_request)

    def _report_usage(self, now_ms: float, entry: int) -> None:
        usages = tuple(self.entries[entry].take_usages(now_ms))
        if usages:
            self._schedule(now_ms + NETWORK_MS, self._receive_usage, entry, usages)
        self._schedule(now_ms + USAGE_INTERVAL_MS, self._report_usage, entry)

    def _receive_usage(self, now_ms: float, entry: int, usages: tuple) -> None:
        if self.coordinator_lost_ms <= now_ms < self.coordinator_back_ms:
            return
        shares = self.coordinator.record_usage(str(entry).encode(), usages, now_ms)
        self._schedule(now_ms + NETWORK_MS, self._apply_shares, entry, shares)

    def _apply_shares(self, now_ms: float, entry: int, shares: tuple) -> None:
        self.entries[entry].apply_shares(shares, now_ms)

    def _replace_coordinator(self, now_ms: float) -> None:
        self.coordinator = RateCoordinator(lambda caller: LIMIT)


def main() -> None:
    """Print a table with a line for each combination of entry count and demand."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    print("limit 100/s, burst 200; admitted per second after 10 s, and in the first second")
    print("entries  demand/s  admitted/s  error  first second  coordinator lost, 10 s  2 s bursts")
    for entries in (3, 30, 380):
        for demand in (50.0, 120.0, 200.0, 1_000.0):
            steady = LimitSimulation(entries, demand, arguments.seed)
            steady.run()
            rate = steady.admitted_rate(WARM_UP_MS, DURATION_MS)
            expected = min(demand, LIMIT.requests_per_s)
            failover = LimitSimulation(entries, demand, arguments.seed, 30_000.0, 3_000.0)
            failover.run()
            bursts = LimitSimulation(entries, 2 * demand, arguments.seed, burst_ms=2_000.0)
            bursts.run()
            print(
                f"{entries:7}  {demand:8.0f}  {rate:10.1f}  {rate / expected - 1:+5.1%}"
                f"  {steady.admitted_rate(0.0, 1_000.0):12.0f}"
                f"  {failover.admitted_rate(30_000, 40_000):21.1f}"
                f"  {bursts.admitted_rate(WARM_UP_MS, DURATION_MS):10.1f}"
            )


if __name__ == "__main__":
    main()
