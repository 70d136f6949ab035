"""When a job is old enough to be given up or removed."""

import asyncio

from ebonyshore.frame.logs import EventLog
from ebonyshore.host.job_types import ResultRecord, ResultSegment
from ebonyshore.runner.job_expiry import MARGIN_MS, JobExpiry
from tests.registry_setup import ITEMS, Registry

RETENTION_MS = 60_000.0
RESULT_RETENTION_MS = 120_000.0
STEP_MS = 3_600_000.0


def expire(setup):
    expiry = JobExpiry(setup.registry, setup.board, RESULT_RETENTION_MS, EventLog())
    asyncio.run(expiry.remove_expired())
    return setup.storage.deleted


def finish(setup):
    results = tuple(ResultRecord(index, True, "d") for index in range(len(ITEMS)))
    setup.storage.stored = [ResultSegment(results)]


def test_a_step_of_the_time_of_day_ages_no_job():
    """Guards against items given up, and jobs removed, by a clock that was set forward."""
    setup = Registry(retention_ms=RETENTION_MS)
    finish(setup)
    setup.clock.step_wall_ms(STEP_MS)
    assert setup.registry.known_for_ms("j1") == 0.0
    assert expire(setup) == []
    setup.clock.step_wall_ms(-2 * STEP_MS)
    setup.clock.advance_ms(RETENTION_MS)
    assert setup.registry.known_for_ms("j1") == RETENTION_MS


def test_a_job_is_removed_once_it_has_been_known_long_enough():
    setup = Registry(retention_ms=RETENTION_MS)
    finish(setup)
    setup.clock.advance_ms(RESULT_RETENTION_MS + MARGIN_MS)
    assert expire(setup) == []
    setup.clock.advance_ms(1.0)
    assert expire(setup) == ["j1"]
    assert setup.registry.known_jobs() == []


def test_an_open_job_is_not_removed_whatever_its_age():
    """Guards against removing a job whose owner, started a moment ago, has not given it up."""
    setup = Registry(owner="b", retention_ms=RETENTION_MS)
    setup.clock.advance_ms(10 * RESULT_RETENTION_MS)
    assert expire(setup) == []
