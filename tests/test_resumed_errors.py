"""Streams that broke off, and errors in the place of their rest."""

import asyncio

import pytest

from ebonyshore.runner.item_run import RunOutcome
from ebonyshore.runner.job_progress import Item
from tests.gateway_setup import Gateway, event_ids, is_complete_stream, make_route, status_of
from tests.scripted_target import ScriptedTarget, break_off, send_complete_stream
from tests.test_item_run import run_item

TEXT = b"upstream error: please try again later\n\n"
HEAD_END = b"\r\n\r\n"
SIGNED = b"Server-Signature: sig\r\n"
STREAM = b"Content-Type: text/event-stream\r\n"


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 30))


def framed(framing, body):
    if framing == "length":
        return b"Content-Length: %d" % len(body) + HEAD_END + body
    if framing == "chunked":
        return (
            b"Transfer-Encoding: chunked"
            + HEAD_END
            + b"%x\r\n%b\r\n0\r\n\r\n"
            % (
                len(body),
                body,
            )
        )
    return b"Connection: close" + HEAD_END + body


def error(status=500, framing="length", body=TEXT, headers=SIGNED):
    return b"HTTP/1.1 %d X\r\nAttempt-Id: req-1\r\n%b%b" % (status, headers, framed(framing, body))


def send_raw(data, is_closed=True, in_pieces=False, is_reset=False):
    async def script(session):
        for part in [data[at : at + 1] for at in range(len(data))] if in_pieces else [data]:
            session.send(part)
            await session.writer.drain()
            await asyncio.sleep(0)
        if is_reset:
            await asyncio.sleep(0.02)
            session.reset()
        elif is_closed:
            session.writer.close()

    return script


async def take_up_after_error(*scripts, headers=(), **route):
    gateway = Gateway(make_route(**{"max_attempts": len(scripts), **route}))
    await gateway.start(*(ScriptedTarget(script) for script in scripts))
    answer = await gateway.request(headers=headers, deadline="1200")
    gateway.close()
    assert gateway.failures == []
    return answer


def streamed_bytes(answer):
    """Return the body without its chunks."""
    _, _, rest = answer.partition(HEAD_END)
    body = b""
    while rest and b"\r\n" in rest:
        size, _, rest = rest.partition(b"\r\n")
        body += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]
    return body


EVENTS = b"".join(b"id: %d\ndata: d%d\n\n" % (number, number) for number in range(1, 5))
NO_REST = {
    **{
        f"{status}-{framing}": error(status, framing)
        for status in (500, 503, 422, 421, 429, 200)
        for framing in ("length", "chunked", "none")
    },
    "refusal": error(503, headers=SIGNED + b"Not-Executed: 1\r\n"),
    "stream-of-text": error(200, headers=SIGNED + STREAM),
    "stream-of-text-to-end": error(200, "none", headers=SIGNED + STREAM),
    "stream-within-event": error(200, "chunked", TEXT.strip(), SIGNED + STREAM),
    "stream-within-event-to-end": error(200, "none", TEXT.strip(), SIGNED + STREAM),
    "events-start-over": error(200, "chunked", EVENTS, SIGNED + STREAM),
    "events-without-ids": error(200, "chunked", b"data: d3\n\n", SIGNED + STREAM),
    "error-event": error(200, "chunked", b"event: error\ndata: x\n\n", SIGNED + STREAM),
    "unsigned-empty-stream": error(200, "chunked", b"", STREAM),
    "unsigned-stream": error(200, "chunked", b"id: 3\ndata: d3\n\n", STREAM),
    "empty-page": error(200, "length", b""),
    "500-stream": error(500, "chunked", b"id: 3\ndata: d3\n\n", SIGNED + STREAM),
    "not-http": b"oops, this is not HTTP\r\n\r\n",
}


@pytest.mark.parametrize("in_pieces", [False, True])
@pytest.mark.parametrize("name", NO_REST)
def test_error_in_place_of_the_rest_of_a_stream_is_not_a_part_of_it(name, in_pieces):
    """Guards against foreign bytes in a stream, and against an end that looks complete."""
    answer = run(take_up_after_error(break_off, send_raw(NO_REST[name], in_pieces=in_pieces)))
    assert status_of(answer) == 200 and not is_complete_stream(answer)
    assert streamed_bytes(answer) == EVENTS[: len(EVENTS) // 2]


@pytest.mark.parametrize("name", ["500-length", "unsigned-empty-stream", "refusal", "not-http"])
def test_stream_goes_on_at_a_third_target_after_an_error(name):
    scripts = break_off, send_raw(NO_REST[name]), send_complete_stream
    answer = run(take_up_after_error(*scripts))
    assert is_complete_stream(answer) and streamed_bytes(answer) == EVENTS


def stream_with(text, framing):
    """Return a stream with a text before its third event."""
    half = len(EVENTS) // 2
    return error(200, framing, EVENTS[:half] + text + EVENTS[half:], SIGNED + STREAM)


TEXTS = {
    "word": b"oops",
    "line": b"oops\n",
    "response": b"HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\noops",
    "head": b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\n\r\n",
    "markup": b"<html>\n",
}


@pytest.mark.parametrize("framing", ["chunked", "none"])
@pytest.mark.parametrize("text", TEXTS.values(), ids=TEXTS)
def test_text_within_an_event_is_not_relayed(text, framing):
    """Guards against the head or the text of an error in the middle of a stream."""
    script = send_raw(stream_with(text, framing))
    answer = run(take_up_after_error(script, is_resumable=False))
    assert text.strip() not in answer and not is_complete_stream(answer)


def test_further_fields_of_an_event_are_relayed():
    event = b"weight-versions: 7\n: comment\nid: 1\nevent: token\ndata\ndata: x\nretry: 5\n\n"
    answer = run(take_up_after_error(send_raw(error(200, "chunked", event, SIGNED + STREAM))))
    assert is_complete_stream(answer) and streamed_bytes(answer) == event


@pytest.mark.parametrize("name", [name for name in NO_REST if name != "refusal"])
def test_stream_that_its_caller_takes_up_is_not_answered_by_a_foreign_success(name):
    answer = run(
        take_up_after_error(
            send_raw(NO_REST[name]), headers=["Last-Event-Id: 2"], is_resumable=False
        )
    )
    if b"event-stream" in NO_REST[name] and status_of(answer) == 200:
        assert not is_complete_stream(answer)
    assert b"id: 1" not in answer


@pytest.mark.parametrize(
    "name", [name for name in NO_REST if "422" not in name and name != "unsigned-stream"]
)
def test_error_in_place_of_the_rest_of_an_item_does_not_complete_it(name):
    """Guards against a result that is complete without the rest of its output."""
    item = Item(0, "req-1")
    results, _ = run_item(item, break_off, send_raw(NO_REST[name]))
    assert results[1].outcome in (RunOutcome.BROKEN, RunOutcome.FAILED, RunOutcome.NOT_RUN)
    assert item.data == ["d1", "d2"]


@pytest.mark.parametrize("text", TEXTS.values(), ids=TEXTS)
def test_text_within_an_event_does_not_complete_an_item(text):
    results, _ = run_item(Item(0, "req-1"), send_raw(stream_with(text, "chunked")))
    assert results[0].outcome is RunOutcome.BROKEN


def test_stream_that_is_cut_does_not_look_complete():
    """Guards against an answer that ends with its connection as a complete one does."""
    answer = run(take_up_after_error(break_off, is_resumable=False))
    assert event_ids(answer) == [1, 2] and streamed_bytes(answer) == EVENTS[: len(EVENTS) // 2]
    assert b"Transfer-Encoding: chunked" in answer and not answer.endswith(b"0\r\n\r\n")
