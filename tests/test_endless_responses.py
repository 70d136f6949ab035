"""Bytes of targets that are no answer and come without end, in heads and in bodies."""

import asyncio
import tracemalloc

import pytest

from ebonyshore.host.content_run import ContentRun
from ebonyshore.host.event_stream import MAX_EVENT_BYTES
from ebonyshore.host.job_types import ItemRecord
from ebonyshore.host.request_content import RequestContent
from ebonyshore.host.target import Target, TargetEntry
from ebonyshore.host.target_check import TargetChecker, TargetCondition
from ebonyshore.http.connection_pool import ConnectionPool
from ebonyshore.platform.target_entries import decode_start
from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore.runner.item_run import ItemRun, RunOutcome
from ebonyshore.runner.job_progress import Item
from tests.gateway_setup import Gateway, event_ids, is_complete_stream, make_route, status_of
from tests.scripted_target import ScriptedTarget, send_complete_stream
from tests.test_item_run import trust_end

# What a process has besides its libraries if its memory is limited to 32 MB.
MAX_RECEIVED_BYTES = 8 << 20
ENDLESS_BYTES = 40 << 20  # where the target gives up
BLOCK_BYTES = 16_384
TRICKLE_INTERVAL_S = 0.05
ITEM = ItemRecord("req-1", "/p/x", (("Model", "m"),), b"body")

HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: req-1\r\n"
STREAM_HEAD = HEAD + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
PLAIN_HEAD = HEAD + b"Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n"
UNDELIMITED_HEAD = HEAD + b"Content-Type: text/plain\r\n\r\n"
REFUSAL_HEAD = b"HTTP/1.1 503 X\r\nAttempt-Id: req-1\r\nNot-Executed: 1\r\n\r\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def repeated(block):
    return lambda _number: block


def numbered_events(number):
    return chunk(b"".join(b"id: %d\ndata: x\n\n" % (number * 500 + n + 1) for n in range(500)))


# Name, bytes that begin the response, and the blocks that follow without end.
ENDLESS = {
    "header_lines": (HEAD, repeated(b"X-Filler: y\r\n" * 1_200)),
    "header_line": (HEAD + b"X-Filler: ", repeated(b"y" * BLOCK_BYTES)),
    "no_http": (b"", repeated(b"\0" * BLOCK_BYTES)),
    "status_line": (b"HTTP/1.1 200 ", repeated(b"y" * BLOCK_BYTES)),
    "other_responses": (
        b"",
        repeated(b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 0\r\n\r\n" * 200),
    ),
    "event_without_end": (STREAM_HEAD, repeated(chunk(b"y" * BLOCK_BYTES))),
    "comments": (STREAM_HEAD, repeated(chunk(b":\n" * (BLOCK_BYTES // 2)))),
    "plain_chunks": (PLAIN_HEAD, repeated(chunk(b"y" * BLOCK_BYTES))),
    "plain_until_close": (UNDELIMITED_HEAD, repeated(b"y" * BLOCK_BYTES)),
}


class EndlessTarget:
    """Answers every request with bytes that do not end until the connection is closed.

    :param interval_s: pause between blocks.
    :ivar sent_bytes: bytes that the peer or its kernel has accepted.
    """

    def __init__(self, head, make_block, interval_s=0.0):
        self.sent_bytes = 0
        self.sessions = 0
        self._head = head
        self._make_block = make_block
        self._interval_s = interval_s
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.sessions += 1
            writer.write(self._head)
            number = 0
            while self.sent_bytes < ENDLESS_BYTES:
                block = self._make_block(number)
                writer.write(block)
                await writer.drain()
                self.sent_bytes += len(block)
                number += 1
                await asyncio.sleep(self._interval_s)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 20))


async def request(endless, **arguments):
    healthy = ScriptedTarget(send_complete_stream)
    gateway = Gateway(make_route())
    await gateway.start(endless, healthy)
    answer = await gateway.request(**arguments)
    gateway.close()
    endless.close()
    return answer


@pytest.mark.parametrize("name", ENDLESS)
def test_request_is_retried_and_little_is_received(name):
    """Guards against a target that fills the memory of the process, or takes all of its time."""
    endless = EndlessTarget(*ENDLESS[name])
    answer = run(request(endless))
    assert status_of(answer) == 200
    assert event_ids(answer) == [1, 2, 3, 4] and is_complete_stream(answer)
    assert endless.sent_bytes <= MAX_RECEIVED_BYTES


@pytest.mark.parametrize("name", ["header_lines", "comments", "other_responses"])
def test_request_is_retried_in_time_if_the_bytes_trickle(name):
    """Guards against a time-out that starts again with each part that is no event."""
    head, make_block = ENDLESS[name]
    answer = run(request(EndlessTarget(head, lambda n: make_block(n)[:78], TRICKLE_INTERVAL_S)))
    assert event_ids(answer) == [1, 2, 3, 4] and is_complete_stream(answer)


def test_event_that_was_given_up_is_not_kept_while_the_request_waits():
    """Guards against memory that nothing counts: 1 MB for each request whose next attempt runs."""
    requests = 8
    traced_bytes = []
    are_all_waiting = asyncio.Event()

    async def wait_for_all(session):
        traced_bytes.append(tracemalloc.get_traced_memory()[0])
        if len(traced_bytes) == requests:
            are_all_waiting.set()
        await are_all_waiting.wait()
        await send_complete_stream(session)

    async def scenario():
        endless = EndlessTarget(*ENDLESS["event_without_end"])
        gateway = Gateway(make_route())
        await gateway.start(endless, ScriptedTarget(wait_for_all))
        tracemalloc.start()
        try:
            answers = await asyncio.gather(*(gateway.request() for _ in range(requests)))
        finally:
            tracemalloc.stop()
        gateway.close()
        endless.close()
        return answers

    assert all(map(is_complete_stream, run(scenario())))
    assert traced_bytes[-1] < requests * MAX_EVENT_BYTES / 4


def test_events_without_end_are_not_kept_for_a_caller_that_does_not_read():
    endless = EndlessTarget(STREAM_HEAD, numbered_events)

    async def scenario():
        gateway = Gateway(make_route())
        await gateway.start(endless)
        _, writer = await gateway.connect()
        writer.transport.pause_reading()
        writer.write(b"POST /p/x HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: req-1\r\n")
        writer.write(b"Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n")
        await asyncio.sleep(2.0)
        writer.transport.abort()
        gateway.close()
        endless.close()

    run(scenario())
    assert 0 < endless.sent_bytes <= 2 * MAX_RECEIVED_BYTES  # with the buffers of both kernels


def run_item(head, make_block, interval_s=0.0):
    endless = EndlessTarget(head, make_block, interval_s)
    item = Item(0, "req-1")

    async def scenario():
        target = Target(TargetEntry("t1", "svc", await endless.start(), "fd-a", 8))
        pool = ConnectionPool(4)
        item_run = ItemRun(WIRE_NAMES, pool, item, ITEM, ITEM.body, "host.example", trust_end)
        result = await item_run.run(ContentRun(target, RequestContent("content"), 0.0))
        pool.close()
        endless.close()
        return result.outcome

    return run(scenario()), endless, item


@pytest.mark.parametrize("name", [*ENDLESS, "numbered_events"])
def test_item_run_ends_and_little_is_received(name):
    head, make_block = ENDLESS.get(name, (STREAM_HEAD, numbered_events))
    outcome, endless, item = run_item(head, make_block)
    assert outcome in (RunOutcome.BROKEN, RunOutcome.SILENT)
    assert endless.sent_bytes <= MAX_RECEIVED_BYTES
    assert sum(len(data) for data in item.data) <= MAX_RECEIVED_BYTES


@pytest.mark.parametrize("interval_s", [0.0, TRICKLE_INTERVAL_S])
def test_refusal_of_an_item_without_end_is_a_refusal(interval_s):
    outcome, endless, _ = run_item(REFUSAL_HEAD, repeated(b"y" * BLOCK_BYTES), interval_s)
    assert outcome is RunOutcome.NOT_RUN
    assert endless.sent_bytes <= MAX_RECEIVED_BYTES


@pytest.mark.parametrize("interval_s", [0.0, TRICKLE_INTERVAL_S])
@pytest.mark.parametrize("name", ENDLESS)
def test_target_that_sends_without_end_is_not_down(name, interval_s):
    """Guards against blaming a request for a crash because its target sends invalid bytes."""
    endless = EndlessTarget(*ENDLESS[name], interval_s)

    async def scenario():
        target = Target(TargetEntry("t1", "svc", await endless.start(), "fd-a", 8))
        pool = ConnectionPool(4)
        condition = await TargetChecker(WIRE_NAMES, pool, decode_start).check(target)
        pool.close()
        endless.close()
        return condition

    assert run(scenario()) is TargetCondition.INCONCLUSIVE
    assert endless.sent_bytes <= 2 * MAX_RECEIVED_BYTES  # over two checks
