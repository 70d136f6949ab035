"""Splitting a stream into complete events in order."""

from itertools import pairwise
from time import process_time

import pytest
from hypothesis import given, seed
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
    assert not splitter.has_incomplete_event


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


def read_until_error(chunks):
    """Return the data of the events before the first malformed one."""
    splitter, events = EventSplitter(), []
    with pytest.raises(StreamOrderError):
        for chunk in chunks:
            events += splitter.feed(chunk)
            splitter.check()
    return [found.data for found in events]


@seed(41)
@given(st.lists(st.integers(min_value=1, max_value=60), max_size=8), st.integers(0, 5))
def test_events_before_a_malformed_one_do_not_depend_on_the_division_into_chunks(cuts, before):
    """Guards against an answer that depends on how its bytes were spread over packets."""
    stream = b"".join(event(number, f"d{number}") for number in range(1, before + 1))
    stream += b"oops\n\n" + event(before + 1)
    offsets = [0, *sorted(cuts), len(stream)]
    chunks = [stream[start:end] for start, end in pairwise(offsets)]
    assert read_until_error(chunks) == [f"d{number}" for number in range(1, before + 1)]


def test_long_event_in_single_bytes_takes_time_linear_in_its_size():
    """Guards against a target that keeps a process busy with one event."""
    splitter, size = EventSplitter(), 600_000
    started_s = process_time()
    for _ in range(size):
        splitter.feed(b"x")
    assert process_time() - started_s < 5.0
    assert splitter.has_incomplete_event
    assert size <= splitter.held_bytes <= 1.25 * size
