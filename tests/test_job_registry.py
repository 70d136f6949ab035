"""The jobs that a runner keeps in memory."""

import asyncio

from ebonyshore.runner.job_registry import LISTING_AGE_MS
from tests.registry_setup import RegistrySetup


def test_a_job_that_a_listing_lacks_is_forgotten():
    """Guards against jobs that stay in memory because they were removed while the watch of the
    records was interrupted."""
    setup = RegistrySetup()
    setup.clock.advance_ms(LISTING_AGE_MS + 1.0)
    setup.registry.on_listing([])
    assert setup.registry.known_jobs() == []


def test_a_job_that_was_stored_while_the_listing_was_read_is_kept():
    setup = RegistrySetup()
    setup.clock.advance_ms(LISTING_AGE_MS / 2)
    setup.registry.on_listing([])
    assert [job.job_id for job in setup.registry.known_jobs()] == ["j1"]


def test_a_read_that_waits_for_results_of_a_removed_job_ends():
    """Guards against the event of a removed job that stays in memory with its waiting read."""

    async def wait_then_remove(registry):
        waiting = asyncio.create_task(registry.wait_for_results("j1"))
        await asyncio.sleep(0)
        registry.remove("j1")
        await asyncio.wait_for(waiting, 1.0)

    asyncio.run(wait_then_remove(RegistrySetup().registry))
