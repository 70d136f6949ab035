"""Crowds of clients that keep to no limit, against each server of real entries and agents."""

from http.client import HTTPConnection, HTTPException
from urllib.parse import urlsplit

import pytest
from msgspec.json import encode

from ebonyshore_standins.client_crowd import HTTP_SHAPES, ZMTP_SHAPES, ClientCrowd
from ebonyshore_standins.local_fleet import OPERATOR_TOKEN, LocalFleet
from ebonyshore_standins.process_usage import count_descriptors, peak_resident_mb

MEMORY_MB = 128.0
MAX_DESCRIPTORS = 200
WORKER_THREADS = 16  # of the entry, so that small crowds reach its limits
CLIENTS = 150
BYTES_PER_CONNECTION = 2_000_000
SILENT_CLIENTS = 300
CALL_TIMEOUT_S = 30.0
SETTLE_TIMEOUT_MS = 60_000.0
REQUEST = encode({"model": "reader", "prompt": "question", "max_tokens": 4})


class Server:
    """One listening address of a process.

    :param process_of: returns the operating system's handle of the process.
    :param port_of: returns the port.
    :param is_answered: returns whether an ordinary call is answered there.
    :param shapes: what clients may send there.
    """

    def __init__(self, process_of, port_of, is_answered, shapes=HTTP_SHAPES):
        self.process_of = process_of
        self.port_of = port_of
        self.is_answered = is_answered
        self.shapes = shapes


def call(port, method, path, body=None, key=OPERATOR_TOKEN):
    connection = HTTPConnection("127.0.0.1", port, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, body, {"Authorization": f"Bearer {key}"})
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, HTTPException):
        return None
    finally:
        connection.close()


def is_completion_answered(fleet):
    return call(fleet.entries[0].port, "POST", "/v1/completions", REQUEST, "k") == 200


def admin_port(owner):
    return urlsplit(owner.admin.url).port


def is_dump_answered(owner):
    return call(admin_port(owner), "GET", "/admin/v1/dump") == 200


SERVERS = {
    "entry-http": Server(
        lambda f: f.entries[0].process, lambda f: f.entries[0].port, is_completion_answered
    ),
    "entry-admin": Server(
        lambda f: f.entries[0].process,
        lambda f: admin_port(f.entries[0]),
        lambda f: is_dump_answered(f.entries[0]),
    ),
    "agent-admin": Server(
        lambda f: f.targets[0].agent,
        lambda f: admin_port(f.targets[0]),
        lambda f: is_dump_answered(f.targets[0]),
    ),
    "agent-socket": Server(
        lambda f: f.targets[0].agent,
        lambda f: f.targets[0].port,
        is_completion_answered,
        ZMTP_SHAPES,
    ),
}
CASES = [(server, shape) for server in SERVERS for shape in SERVERS[server].shapes]


class FleetKeeper:
    """Keeps one fleet for several tests, and starts another after a test that spoilt it."""

    def __init__(self, folders):
        self._folders = folders
        self._fleet = None

    def fresh_fleet(self):
        if self._fleet is None or not self._is_within_bounds():
            self.stop()
            fleet = LocalFleet(self._folders.mktemp("own"))
            self._fleet = fleet.__enter__()
            fleet.add_engine(("reader",))
            fleet.add_entry(extra_settings=f"worker_threads = {WORKER_THREADS}")
            fleet.create_tier("care", ("reader",))
        return self._fleet

    def stop(self):
        if self._fleet is not None:
            for process in self._fleet._processes:
                process.kill()
            self._fleet.__exit__()
            self._fleet = None

    def _is_within_bounds(self):
        processes = [self._fleet.entries[0].process, self._fleet.targets[0].agent]
        return all(
            process.poll() is None and peak_resident_mb(process.pid) < MEMORY_MB
            for process in processes
        ) and is_completion_answered(self._fleet)


@pytest.fixture(scope="module")
def keeper(tmp_path_factory):
    keeper = FleetKeeper(tmp_path_factory)
    yield keeper
    keeper.stop()


@pytest.fixture
def fleet(keeper):
    return keeper.fresh_fleet()


@pytest.mark.timeout(600)  # a crowd of expensive requests is served to its end
@pytest.mark.parametrize("server_name, shape", CASES)
def test_crowd_does_not_use_up_a_process(fleet, server_name, shape):
    """Guards against what a connection holds and nobody counts."""
    server = SERVERS[server_name]
    process = server.process_of(fleet)
    descriptors = []
    crowd = ClientCrowd(
        ("127.0.0.1", server.port_of(fleet)), server.shapes[shape], CLIENTS, BYTES_PER_CONNECTION
    )
    try:
        crowd.run(lambda: descriptors.append(count_descriptors(process.pid)))
    finally:
        crowd.close()
    fleet.wait_until(lambda: server.is_answered(fleet), SETTLE_TIMEOUT_MS)
    assert process.poll() is None
    assert peak_resident_mb(process.pid) < MEMORY_MB
    assert max(descriptors) <= MAX_DESCRIPTORS


@pytest.mark.parametrize("server_name", SERVERS)
def test_call_is_answered_while_silent_clients_have_all_connections(fleet, server_name):
    """Guards against connections that nobody ends for the sake of those who wait."""
    server = SERVERS[server_name]
    process = server.process_of(fleet)
    crowd = ClientCrowd(
        ("127.0.0.1", server.port_of(fleet)), server.shapes["nothing"], SILENT_CLIENTS, 0
    )
    try:
        crowd.run()
        assert server.is_answered(fleet)
    finally:
        crowd.close()
    assert process.poll() is None
