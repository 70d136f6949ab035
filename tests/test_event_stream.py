"""Splitting a stream into complete events in order."""

from time import process_time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonyshore.host.event_stream import EventSplitter, StreamOrderError


def event(number, data="x"):
    return f"id: {number}\ndata: {data}\n\n".encode()


@given(st.lists(st.integers(min_value=1, max_value=20), max_size=30))
def test_events_do_not_depend_on_the_division_into_chunks(cuts):
    stream = b"".join(event(number, f"d{number}") for number in range(1, 8))
    splitter, events, start = EventSplitter(), [], 0
    for cut in cuts:
        events += splitter.feed(stream[start : start + cut])
        start += cut
    events += splitter.feed(stream[start:])
    assert b"".join(part.raw for part in events) == stream
    assert [part.data for part in events] == [f"d{number}" for number in range(1, 8)]
    assert splitter.incomplete_event == b""


@pytest.mark.parametrize(
    "invalid_event", [event(5), event(3), b"data: x\n\n", b"id: x\n\n", b"\xff\n\n"]
)
def test_gap_repeat_or_malformed_event_is_an_error_and_keeps_the_position(invalid_event):
    """Guards against relaying a stream with a missing or repeated event."""
    splitter = EventSplitter(3)
    with pytest.raises(StreamOrderError):
        splitter.feed(invalid_event)
    assert splitter.last_id == 3


def test_incomplete_event_is_discarded_before_another_response():
    splitter = EventSplitter()
    splitter.feed(event(1) + b"id: 2\nda")
    splitter.discard_incomplete()
    assert [part.event_id for part in splitter.feed(event(2))] == [2]


def test_several_data_lines_are_joined():
    assert EventSplitter().feed(b"id: 1\ndata: a\ndata: b\n\n")[0].data == "a\nb"


def test_long_event_in_single_bytes_takes_time_linear_in_its_size():
    """Guards against a target that keeps a process busy with one event."""
    splitter, size = EventSplitter(), 600_000
    started_s = process_time()
    for _ in range(size):
        splitter.feed(b"x")
    assert process_time() - started_s < 5.0
    assert len(splitter.incomplete_event) == size
