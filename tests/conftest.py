"""Fixtures shared by the tests."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from ebonyshore.frame.clock import ManualClock, SystemClock
from ebonyshore.platform.object_store import PlatformObjectStore
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore.store.store_http_client import StoreHttpClient
from ebonyshore_standins.local_fleet import LocalFleet
from ebonyshore_standins.memory_platform import MemoryPlatform
from ebonyshore_standins.object_platform import ObjectPlatform


@pytest.fixture
def clock() -> ManualClock:
    """A paused clock."""
    return ManualClock(1_000.0)


@pytest.fixture
def platform() -> MemoryPlatform:
    """A platform in memory, on the system's clock."""
    return MemoryPlatform(SystemClock())


@pytest.fixture
def store(platform: MemoryPlatform) -> MarkedStore:
    """Marked writes on ``platform``."""
    return MarkedStore(platform, SystemClock())


@pytest.fixture
def object_platform() -> Iterator[ObjectPlatform]:
    """The store of the users' platform as a server on loopback."""
    server = ObjectPlatform()
    server.start()
    yield server
    server.stop()


@pytest.fixture
def object_store(object_platform: ObjectPlatform) -> Iterator[PlatformObjectStore]:
    """The client of ``object_platform``."""
    client = PlatformObjectStore(StoreHttpClient(f"http://{object_platform.address}", 500.0))
    yield client
    client.close()


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LocalFleet]:
    """Two engines, a plain service and two entries as processes, with one tier."""
    folder: Path = tmp_path_factory.mktemp("fleet")
    with LocalFleet(folder) as running:
        for domain in ("a", "b"):
            running.add_engine(("reader", "writer"), domain)
        running.add_service("labels")
        for domain in ("a", "b"):
            running.add_entry(domain)
        running.create_tier("care", ("reader", "writer", "labels"))
        yield running
