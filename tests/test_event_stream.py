"""Splitting a stream into whole events in order."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonyshore.host.event_stream import EventSplitter, StreamOrderError


def event(number, data="x"):
    return f"id: {number}\ndata: {data}\n\n".encode()


@given(st.lists(st.integers(min_value=1, max_value=20), max_size=30))
def test_any_division_into_parts_gives_the_same_events(cuts):
    stream = b"".join(event(number, f"d{number}") for number in range(1, 8))
    splitter, found, start = EventSplitter(), [], 0
    for cut in cuts:
        found += splitter.feed(stream[start : start + cut])
        start += cut
    found += splitter.feed(stream[start:])
    assert b"".join(part.raw for part in found) == stream
    assert [part.data for part in found] == [f"d{number}" for number in range(1, 8)]
    assert splitter.incomplete_event == b""


@pytest.mark.parametrize("wrong", [event(5), event(3), b"data: x\n\n", b"id: x\n\n", b"\xff\n\n"])
def test_a_gap_a_repeat_or_a_spoilt_event_is_an_error_and_moves_nothing(wrong):
    """Guards against a stream with a missing or doubled piece."""
    splitter = EventSplitter(3)
    with pytest.raises(StreamOrderError):
        splitter.feed(wrong)
    assert splitter.last_id == 3


def test_a_part_of_an_event_is_dropped_when_another_answer_goes_on():
    splitter = EventSplitter()
    splitter.feed(event(1) + b"id: 2\nda")
    splitter.discard_incomplete()
    assert [part.event_id for part in splitter.feed(event(2))] == [2]


def test_several_data_lines_are_joined():
    assert EventSplitter().feed(b"id: 1\ndata: a\ndata: b\n\n")[0].data == "a\nb"
