"""Tests of jobs whose bodies are too large for the job record."""

import asyncio

import pytest

from ebonyshore.frame.errors import StoreUnavailableError
from ebonyshore.host.job_types import ItemRecord
from ebonyshore.runner.job_storage import MAX_INLINE_BODY_BYTES, PARTS_KIND, JobStorage
from ebonyshore.store.marked_write import MarkedStore
from tests.registry_setup import RegistrySetup, claim_and_wait

BODIES = tuple(bytes([number]) * MAX_INLINE_BODY_BYTES for number in (1, 2))
ITEMS = tuple(ItemRecord(f"i{n}", "/p/x", (), body) for n, body in enumerate(BODIES))


@pytest.fixture
def setup(object_store):
    storage = JobStorage(MarkedStore(object_store, RegistrySetup().clock))
    return RegistrySetup(epoch=1, storage=storage, items=ITEMS)


def bodies_of(progress):
    return tuple(progress.item_body(index) for index in range(len(BODIES)))


def test_the_owner_runs_a_large_job_with_its_bodies(setup):
    """Guards against the runner that has accepted a job sending its items with empty bodies."""
    asyncio.run(claim_and_wait(setup))
    (progress,) = setup.registry.owned_jobs()
    assert bodies_of(progress) == BODIES


def test_a_large_job_is_read_with_its_bodies_right_after_its_acceptance(setup):
    assert bodies_of(setup.read()) == BODIES


def test_a_large_job_with_missing_bodies_is_not_run(setup, object_platform):
    """Guards against sending an empty body in place of one that is missing in the store."""
    for kind, name in list(object_platform.state.objects):
        if kind == PARTS_KIND:
            del object_platform.state.objects[kind, name]
    asyncio.run(claim_and_wait(setup))
    assert setup.registry.owned_jobs() == []
    with pytest.raises(StoreUnavailableError):
        setup.read()
