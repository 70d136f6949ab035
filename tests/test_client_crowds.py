"""Crowds of clients that keep to no limit, against each server of real entries and runners.

The settings of the processes have low limits, so that small crowds reach them. The bounds are those
of the settings: a process that uses more is ended on the users' platform.
"""

import socket
from http.client import HTTPException

import pytest

from ebonyshore.frame.http_connection import WholeResponseConnection
from ebonyshore.host.operator_server import METRICS_PATH, METRICS_PORT
from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore_standins.client_crowd import HTTP_SHAPES, ClientCrowd
from ebonyshore_standins.fleet_client import read_job, request_stream, submit_job
from ebonyshore_standins.fleet_config import ROUTE_HOST, STREAM_PREFIX
from ebonyshore_standins.platform_fleet import PlatformFleet, running, wait_until
from ebonyshore_standins.process_usage import count_descriptors, peak_resident_mb

MEMORY_MB = 64.0
MAX_DESCRIPTORS = 600
RESERVED_DESCRIPTORS = 200  # of these, for files that the platform does not count
CLIENTS = 150
BYTES_PER_CONNECTION = 2_000_000
SILENT_CLIENTS = 700  # more than the process may have descriptors
CALL_TIMEOUT_S = 30.0
SETTLE_TIMEOUT_S = 30.0


class Server:
    """One listening address of a process, with a call that it answers.

    :param role: role of the process.
    :param port_of: returns the port.
    :param is_answered: returns whether an ordinary call to the fleet is answered there.
    """

    def __init__(self, role, port_of, is_answered):
        self.role = role
        self.port_of = port_of
        self.is_answered = is_answered


def get_status(process, port, path):
    connection = WholeResponseConnection(process.ip, port, timeout=CALL_TIMEOUT_S)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, HTTPException):
        return None
    finally:
        connection.close()


def is_stream_answered(fleet, name):
    try:
        return request_stream(fleet.entries[0], name, timeout_s=CALL_TIMEOUT_S)[0] == 200
    except (OSError, HTTPException):
        return False


def is_job_answered(fleet, name):
    try:
        if submit_job(fleet.entries[0], name, timeout_s=CALL_TIMEOUT_S) != 202:
            return False
        return read_job(fleet.entries[0], name)[0] == 200
    except (OSError, HTTPException):
        return False


def are_metrics_answered(process):
    return get_status(process, METRICS_PORT, METRICS_PATH) == 200


SERVERS = {
    "entry-front": Server("entry", lambda p: p.front_port, is_stream_answered),
    "entry-ready": Server(
        "entry",
        lambda p: p.ready_port,
        lambda f, _: (
            get_status(f.entries[0], f.entries[0].ready_port, WIRE_NAMES.ready_path) == 200
        ),
    ),
    "entry-operator": Server(
        "entry", lambda _: METRICS_PORT, lambda f, _: are_metrics_answered(f.entries[0])
    ),
    "runner-internal": Server("runner", lambda p: p.internal_port, is_job_answered),
    "runner-operator": Server(
        "runner", lambda _: METRICS_PORT, lambda f, _: are_metrics_answered(f.runners[0])
    ),
}


@pytest.fixture(scope="module")
def running_fleet(tmp_path_factory):
    fleet = PlatformFleet(tmp_path_factory.mktemp("crowds"), 1, 1, 2, address_octet=71)
    for process in fleet.processes:
        process.memory_mb = MEMORY_MB
        process.max_descriptors = MAX_DESCRIPTORS
    fleet.set_store_address(fleet.platform.address)
    with running(fleet):
        yield fleet


def is_within_bounds(process):
    return process.is_running and peak_resident_mb(process.pid) < MEMORY_MB


@pytest.fixture
def fleet(running_fleet):
    """A fleet whose processes have not been over their limits before."""
    if not all(map(is_within_bounds, running_fleet.processes)):
        running_fleet.restart_all()
    return running_fleet


@pytest.mark.parametrize("shape", HTTP_SHAPES)
@pytest.mark.parametrize("server", SERVERS)
def test_crowd_does_not_use_up_a_process(fleet, server, shape):
    """Guards against what a connection holds and nobody counts."""
    role, port_of = SERVERS[server].role, SERVERS[server].port_of
    process = fleet.entries[0] if role == "entry" else fleet.runners[0]
    descriptors = []
    crowd = ClientCrowd(
        (process.ip, port_of(process)), HTTP_SHAPES[shape], CLIENTS, BYTES_PER_CONNECTION
    )
    try:
        crowd.run(lambda: descriptors.append(count_descriptors(process.pid)))
    finally:
        crowd.close()
    wait_until(lambda: SERVERS[server].is_answered(fleet, f"{server}-{shape}"), SETTLE_TIMEOUT_S)
    assert process.is_running
    assert peak_resident_mb(process.pid) < MEMORY_MB
    assert max(descriptors) <= MAX_DESCRIPTORS - RESERVED_DESCRIPTORS


@pytest.mark.parametrize("server", SERVERS)
def test_call_is_answered_while_silent_clients_have_all_connections(fleet, server):
    """Guards against connections that nobody ends for the sake of those who wait."""
    role, port_of = SERVERS[server].role, SERVERS[server].port_of
    process = fleet.entries[0] if role == "entry" else fleet.runners[0]
    process.limit_descriptors(MAX_DESCRIPTORS)
    crowd = ClientCrowd((process.ip, port_of(process)), HTTP_SHAPES["nothing"], SILENT_CLIENTS, 0)
    descriptors = []
    try:
        crowd.run(lambda: descriptors.append(count_descriptors(process.pid)))
        assert SERVERS[server].is_answered(fleet, f"{server}-silent")
    finally:
        crowd.close()
    assert process.is_running
    assert max(descriptors) <= MAX_DESCRIPTORS - RESERVED_DESCRIPTORS


BODY = b"question" * 1_000
LEGAL_REQUESTS = {
    "short_lines_and_body": [b"a:\r\n" * 3_800, b"Content-Length: 8000\r\n\r\n", BODY],
    "long_value": [b"X: " + b"y" * 15_000, b"\r\nContent-Length: 8000\r\n\r\n", BODY],
    "two_byte_chunks": [
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"2\r\nyz\r\n" * 4_000,
        b"0\r\n\r\n",
    ],
    "chunk_extension": [b"Transfer-Encoding: chunked\r\n\r\n4;x=y\r\nbody\r\n0\r\n\r\n"],
    "trailers": [b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: b\r\n\r\n"],
    "body_near_the_limit": [b"Content-Length: 4000000\r\n\r\n", b"y" * 4_000_000],
}


@pytest.mark.parametrize("name", LEGAL_REQUESTS)
def test_single_legal_request_is_served_in_calm(fleet, name):
    """Guards against limits that clients within the pages' limits meet."""
    entry = fleet.entries[0]
    head = f"\r\nPOST {STREAM_PREFIX}x HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nConnection: close\r\n"
    head += f"{WIRE_NAMES.request_id}: legal-{name}\r\n{WIRE_NAMES.remaining_ms}: 5000\r\n"
    with socket.create_connection((entry.ip, entry.front_port), CALL_TIMEOUT_S) as connection:
        connection.sendall(head.encode() + b"".join(LEGAL_REQUESTS[name]))
        answer = b"".join(iter(lambda: connection.recv(65_536), b""))
    assert answer.startswith(b"HTTP/1.1 200"), answer[:200]
    assert answer.endswith(b"0\r\n\r\n")
