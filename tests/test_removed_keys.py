"""Removed keys on a fleet of processes, some of which are cut off from the store."""

import json
import signal
import time
from threading import Thread

import pytest

from ebonyshore.runner.config_confirmer import MAX_INTERVAL_MS
from ebonyshore_standins.fleet_client import read_job, request_stream, submit_job
from ebonyshore_standins.fleet_config import account, make_config
from ebonyshore_standins.platform_fleet import PlatformFleet, running, wait_until

REVOCATION_MS = 1_500
CONFIG_PATH = "/ebonyshore/objects/config/main"
ACCOUNTS = (account("a", "key-a", "key-b"),)


@pytest.fixture
def fleet(tmp_path, request):
    revocation_ms = getattr(request, "param", REVOCATION_MS)
    platform_fleet = PlatformFleet(
        tmp_path, address_octet=16, accounts=ACCOUNTS, revocation_ms=revocation_ms
    )
    with running(platform_fleet):
        yield platform_fleet


def is_watch_or_stale_read(path):
    return path.startswith("/ebonyshore/objects/config") and path != CONFIG_PATH


def outcome(entry, key):
    """Return the status of a request with a key, and the error in its body."""
    entry.key = key
    status, _, body = request_stream(entry, f"q-{time.monotonic_ns()}")
    entry.key = "key-a"
    return status, None if status == 200 else json.loads(body)["error"]


def test_a_removed_key_is_refused_everywhere_and_no_target_sees_a_key(fleet):
    first, second = fleet.entries
    assert outcome(first, "key-b") == (200, None)
    assert outcome(first, "unknown") == outcome(first, None) == (401, "unauthenticated")
    assert submit_job(first, "j1") == 202
    fleet.platform.state.put("config", "main", make_config(2, accounts=[account("a", "key-a")]))
    for entry in fleet.entries:
        wait_until(lambda entry=entry: outcome(entry, "key-b")[0] == 401, 2.0)
    assert outcome(second, "key-a") == (200, None)
    assert read_job(second, "j1")[0] == 200
    fields = [field for target in fleet.targets for run in target.runs for field in run.headers]
    assert not any(name == "authorization" or "key-" in value for name, value in fields)
    online = [run for target in fleet.targets for run in target.runs if run.request_id[0] == "q"]
    assert all(("tenant", "a") in run.headers for run in online)
    assert all("key-" not in process.read_log() for process in fleet.processes)


def test_keys_are_refused_without_a_linearizable_read_and_served_again_after_one(fleet):
    """Stale reads and watches are answered all the time; they prove nothing."""
    entry = fleet.entries[0]
    fleet.platform.fault_hook = lambda _method, path: 503 if path == CONFIG_PATH else None
    began_s = time.monotonic()
    wait_until(lambda: outcome(entry, "key-a") == (503, "config_unconfirmed"), 4.0)
    assert time.monotonic() - began_s < 2 * REVOCATION_MS / 1_000
    assert outcome(entry, "key-a") == (503, "config_unconfirmed")
    assert not entry.is_ready()  # the store answers other reads, so this is not an outage of all
    fleet.platform.fault_hook = lambda _method, _path: None
    wait_until(lambda: outcome(entry, "key-a") == (200, None), 5.0)
    wait_until(entry.is_ready, 1.0)


def test_a_frozen_entry_does_not_use_a_removed_key_when_it_wakes(fleet):
    """Guards against a request that is served before anything tells the entry of the removal."""
    entry, platform = fleet.entries[0], fleet.platform
    # The pending watches end with a version that removes nothing; then none is answered.
    platform.fault_hook = lambda _method, path: 503 if is_watch_or_stale_read(path) else None
    platform.state.put("config", "main", make_config(2, accounts=ACCOUNTS))
    time.sleep(0.3)
    assert outcome(entry, "key-b") == (200, None)
    entry.signal(signal.SIGSTOP)
    platform.state.put("config", "main", make_config(3, accounts=[account("a", "key-a")]))
    time.sleep(1.1 * REVOCATION_MS / 1_000)
    outcomes = []
    waiting = Thread(target=lambda: outcomes.append(outcome(entry, "key-b")))
    waiting.start()
    time.sleep(0.2)
    entry.signal(signal.SIGCONT)
    waiting.join(10)
    assert outcomes[0][0] in (401, 503)


@pytest.mark.parametrize("fleet", [5_000], indirect=True)
def test_entries_make_no_reads_of_their_own_while_a_runner_confirms(fleet):
    paths = []
    time.sleep(1.0)  # the reads at the start
    fleet.platform.fault_hook = lambda _method, path: paths.append(path)
    span_ms = 5_000.0  # longer than a lease
    time.sleep(span_ms / 1_000)
    assert all(outcome(entry, "key-a") == (200, None) for entry in fleet.entries)
    assert 0 < paths.count(CONFIG_PATH) <= span_ms / MAX_INTERVAL_MS + 1
