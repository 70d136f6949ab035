"""Tests that one content crashes at most two targets and that all other requests complete."""

from os import environ
from random import Random

import pytest

from ebonyshore.frame.result_codes import ResultCode
from ebonyshore_standins.simulated_fleet import CallerRequest, SimulatedFleet

POISON_MARKER = "CRASH-THE-ENGINE"
MAX_CRASHES = 2
POISON_REQUEST_COUNT = 12
HARMLESS_REQUEST_COUNT = 40
SEEDS = range(int(environ.get("EBONYSHORE_SEEDS", "3")))


def run_fleet(
    seed: int, dies_with_target: bool, poison_request_count: int, spread_ms: float
) -> SimulatedFleet:
    """Run requests with content that crashes its target among harmless ones, through all entries.

    :param dies_with_target: whether an agent dies when its target crashes.
    :param spread_ms: the requests start at random times within this duration.
    """
    fleet = SimulatedFleet(seed, agents=5, entries=4, dies_with_target=dies_with_target)
    random = Random(seed)
    fleet.poison_requests = [
        CallerRequest(f"p{n}", f"poison {POISON_MARKER}", 4) for n in range(poison_request_count)
    ]
    fleet.harmless_requests = [
        CallerRequest(f"b{n}", f"bystander {n}", 40) for n in range(HARMLESS_REQUEST_COUNT)
    ]
    for request in fleet.poison_requests + fleet.harmless_requests:
        entry = random.choice(fleet.entries)
        delay_ms = random.uniform(0, spread_ms)
        fleet.simulation.call_later(delay_ms, lambda e=entry, r=request: e.send(r))
    fleet.simulation.run_until(fleet.simulation.clock.monotonic_ms() + spread_ms + 45_000)
    return fleet


@pytest.mark.parametrize("spread_ms", [1.0, 300.0, 8_000.0])
@pytest.mark.parametrize("dies_with_target", [False, True])
def test_content_crashes_at_most_two_targets(dies_with_target: bool, spread_ms: float) -> None:
    for seed in SEEDS:
        fleet = run_fleet(seed, dies_with_target, POISON_REQUEST_COUNT, spread_ms)
        assert 1 <= fleet.crashes <= MAX_CRASHES, f"seed {seed}"
        assert {request.code for request in fleet.poison_requests} == {
            ResultCode.CONVICTED
        }, f"seed {seed}"
        unfinished = [r.request_id for r in fleet.harmless_requests if r.code is not ResultCode.OK]
        assert not unfinished, f"seed {seed}"
