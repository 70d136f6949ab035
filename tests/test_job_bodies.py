"""Bodies of jobs that are too large for one record."""

import asyncio

import pytest

from ebonyshore.frame.errors import StoreUnavailableError
from ebonyshore.host.job_types import ItemRecord
from ebonyshore.runner.job_storage import MAX_INLINE_BODY_BYTES, PARTS_KIND, JobStorage
from ebonyshore.store.marked_write import MarkedStore
from tests.registry_setup import Registry, claim

BODIES = tuple(bytes([number]) * MAX_INLINE_BODY_BYTES for number in (1, 2))
ITEMS = tuple(ItemRecord(f"i{n}", "/p/x", (), body) for n, body in enumerate(BODIES))


@pytest.fixture
def setup(object_store):
    storage = JobStorage(MarkedStore(object_store, Registry().clock))
    return Registry(epoch=1, storage=storage, items=ITEMS)


def bodies_of(progress):
    return tuple(progress.item_body(index) for index in range(len(BODIES)))


def test_the_owner_runs_a_large_job_with_its_bodies(setup):
    """Guards against items that are sent empty by the runner that has accepted their job."""
    asyncio.run(claim(setup))
    (progress,) = setup.registry.owned_jobs()
    assert bodies_of(progress) == BODIES


def test_a_large_job_that_was_just_accepted_is_read_with_its_bodies(setup):
    assert bodies_of(setup.read()) == BODIES


def test_a_large_job_without_one_of_its_bodies_is_not_run(setup, object_platform):
    """Guards against sending an empty body in place of one that the store does not have."""
    for kind, name in list(object_platform.state.objects):
        if kind == PARTS_KIND:
            del object_platform.state.objects[kind, name]
    asyncio.run(claim(setup))
    assert setup.registry.owned_jobs() == []
    with pytest.raises(StoreUnavailableError):
        setup.read()
