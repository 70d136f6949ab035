"""Tests of when a job is old enough to be given up or removed."""

import asyncio

from ebonyshore.frame.logs import EventLog
from ebonyshore.host.job_types import ResultRecord, ResultSegment
from ebonyshore.runner.job_expiry import EXPIRY_MARGIN_MS, JobExpiry
from tests.registry_setup import ITEMS, RegistrySetup

RETENTION_MS = 60_000.0
RESULT_RETENTION_MS = 120_000.0
CLOCK_STEP_MS = 3_600_000.0


def expire_jobs(setup):
    expiry = JobExpiry(setup.registry, setup.load_table, RESULT_RETENTION_MS, EventLog())
    asyncio.run(expiry.remove_expired())
    return setup.storage.deleted


def finish_job(setup):
    results = tuple(ResultRecord(index, True, "d") for index in range(len(ITEMS)))
    setup.storage.stored = [ResultSegment(results)]


def test_a_step_of_the_wall_clock_does_not_change_the_age_of_a_job():
    """Guards against giving up items and removing jobs after the clock was set forward."""
    setup = RegistrySetup(retention_ms=RETENTION_MS)
    finish_job(setup)
    setup.clock.step_wall_ms(CLOCK_STEP_MS)
    assert setup.registry.known_for_ms("j1") == 0.0
    assert expire_jobs(setup) == []
    setup.clock.step_wall_ms(-2 * CLOCK_STEP_MS)
    setup.clock.advance_ms(RETENTION_MS)
    assert setup.registry.known_for_ms("j1") == RETENTION_MS


def test_a_finished_job_is_removed_after_its_retention_time():
    setup = RegistrySetup(retention_ms=RETENTION_MS)
    finish_job(setup)
    setup.clock.advance_ms(RESULT_RETENTION_MS + EXPIRY_MARGIN_MS)
    assert expire_jobs(setup) == []
    setup.clock.advance_ms(1.0)
    assert expire_jobs(setup) == ["j1"]
    assert setup.registry.known_jobs() == []


def test_an_unfinished_job_is_never_removed():
    """Guards against removing a job whose owner has just started and has not given it up yet."""
    setup = RegistrySetup(owner="b", retention_ms=RETENTION_MS)
    setup.clock.advance_ms(10 * RESULT_RETENTION_MS)
    assert expire_jobs(setup) == []
