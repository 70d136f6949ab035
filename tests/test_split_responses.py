"""Responses of targets whose bytes are spread over packets in any way."""

import asyncio
from itertools import pairwise
from types import SimpleNamespace

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from ebonyshore.frame.loop_time import now_ms
from ebonyshore.host.response_reader import ResponseReader
from ebonyshore.host.target import Target, TargetEntry
from ebonyshore.http.client import ClientConnection, ExchangeError
from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore_standins.received_bytes import feed_bytes

FIRST = b"Attempt-Id: req-1\r\n"
OTHER = b"Attempt-Id: req-0\r\n"
RESPONSES = [
    b"HTTP/1.1 %d X\r\n%b%bX-Folded: a\r\n%b" % (status, id_line, refusal, body)
    for id_line in (FIRST, OTHER, b"", FIRST + OTHER)
    for status, refusal in ((200, b""), (500, b""), (503, b"not-executed: 1\r\n"))
    for body in (
        b"Content-Length: 0\r\n\r\n",
        b"Content-Length: 4\r\n\r\nfull",
        b"Content-Length: 9\r\n\r\nhalf",
        b"Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
        b"Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\nzz\r\n",
        b"\r\nto the end",
    )
]
GARBAGE = [b"oops, not HTTP", b"HTTP/1.1 2", b"HTTP/1.1 200 OK\r\nAttempt-Id: req-1"]


class FakeTransport(SimpleNamespace):
    """Takes what is sent and knows whether it was closed."""

    is_aborted = False

    def write(self, _data):
        pass

    def is_closing(self):
        return self.is_aborted

    def abort(self):
        self.is_aborted = True

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


async def read_response(connection, reader):
    """Return status and body, or the error."""
    try:
        head = await reader.read_head(None)
        body = await reader.read_body(lambda: reader.next_part(None))
        return head.status, body
    except ExchangeError as error:
        return type(error).__name__
    finally:
        connection.finish_exchange(now_ms())


async def receive(pieces, is_read_meanwhile, has_carried_other):
    """Return the response in the pieces, and whether its connection can be used again."""
    connection, transport = ClientConnection(), FakeTransport()
    connection.connection_made(transport)
    if has_carried_other:
        connection.send(b"request", "req-0")
        feed_bytes(connection, b"HTTP/1.1 200 OK\r\n" + OTHER + b"Content-Length: 0\r\n\r\n")
        while connection.has_parts:
            await connection.next_part()
        connection.finish_exchange(now_ms())
    connection.send(b"request", "req-1")
    target = Target(TargetEntry("t1", "svc", "127.0.0.1:1", "fd-a", 8))
    reader = ResponseReader(connection, WIRE_NAMES, target, "req-1", now_ms() + 5_000.0)
    reading = asyncio.create_task(read_response(connection, reader))
    for piece in pieces:
        if not transport.is_aborted:
            feed_bytes(connection, piece)
        if is_read_meanwhile:
            await pass_loop()
    await pass_loop()
    if not reading.done():
        connection.connection_lost(None)
    return await reading, connection.is_open


async def pass_loop():
    """Let the reader take what has arrived."""
    for _ in range(20):
        await asyncio.sleep(0)


@seed(41)
@settings(deadline=None, max_examples=400)
@given(
    st.lists(st.sampled_from(RESPONSES), min_size=1, max_size=3),
    st.sampled_from([b"", *GARBAGE]),
    st.lists(st.integers(min_value=0, max_value=400), max_size=12),
    st.booleans(),
    st.booleans(),
)
def test_a_response_does_not_depend_on_the_packets_that_it_came_in(
    responses, rest, cuts, is_read_meanwhile, has_carried_other
):
    """Guards against a refusal, or an end, that is seen only in some divisions of the bytes."""
    data = b"".join(responses) + rest
    offsets = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    pieces = [data[start:end] for start, end in pairwise(offsets) if end > start]
    whole = asyncio.run(receive([data], True, has_carried_other))
    assert asyncio.run(receive(pieces, is_read_meanwhile, has_carried_other)) == whole
    singles = [data[at : at + 1] for at in range(len(data))]
    assert asyncio.run(receive(singles, is_read_meanwhile, has_carried_other)) == whole
