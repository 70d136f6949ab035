"""One content crashes at most two targets, and all other requests complete."""

from os import environ
from random import Random

import pytest

from ebonyshore.frame.result_codes import ResultCode
from ebonyshore_standins.simulated_fleet import CallerRequest, SimulatedFleet

POISON = "CRASH-THE-ENGINE"
MAX_CRASHES = 2
POISONED_REQUESTS = 12
HARMLESS_REQUESTS = 40
SEEDS = range(int(environ.get("EBONYSHORE_SEEDS", "3")))


def run_world(
    seed: int, dies_with_target: bool, poisoned_requests: int, spread_ms: float
) -> SimulatedFleet:
    """Run requests with one poisoned content among harmless ones, through all entries.

    The requests start at random times within ``spread_ms``.
    """
    world = SimulatedFleet(seed, agents=5, entries=4, dies_with_target=dies_with_target)
    random = Random(seed)
    world.poisoned = [
        CallerRequest(f"p{n}", f"poison {POISON}", 4) for n in range(poisoned_requests)
    ]
    world.bystanders = [
        CallerRequest(f"b{n}", f"bystander {n}", 40) for n in range(HARMLESS_REQUESTS)
    ]
    for caller in world.poisoned + world.bystanders:
        entry = random.choice(world.entries)
        delay_ms = random.uniform(0, spread_ms)
        world.simulation.call_later(delay_ms, lambda e=entry, c=caller: e.send(c))
    world.simulation.run_until(world.simulation.clock.monotonic_ms() + spread_ms + 45_000)
    return world


@pytest.mark.parametrize("spread_ms", [1.0, 300.0, 8_000.0])
@pytest.mark.parametrize("dies_with_target", [False, True])
def test_content_crashes_at_most_two_targets(dies_with_target: bool, spread_ms: float) -> None:
    for seed in SEEDS:
        world = run_world(seed, dies_with_target, POISONED_REQUESTS, spread_ms)
        assert 1 <= world.crashes <= MAX_CRASHES, f"seed {seed}"
        assert {caller.code for caller in world.poisoned} == {ResultCode.CONVICTED}, f"seed {seed}"
        unfinished = [c.request_id for c in world.bystanders if c.code is not ResultCode.OK]
        assert not unfinished, f"seed {seed}"
