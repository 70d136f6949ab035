"""Encoding of messages, and decoding of frames that are from newer senders or damaged."""

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.msgpack import decode, encode

from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.link.codec import MessageCodec
from ebonyshore.link.messages import AgentMessage, Dispatch, EntryMessage, Hello, Refused, WorkClass

DISPATCH = Dispatch("r1", "i1", WorkClass.BATCH, "/p", b"\x00{}", 12.5, "digest", 3)


def make_codec(message_type: object) -> tuple[MessageCodec, Metrics]:
    metrics = Metrics()
    return MessageCodec(message_type, metrics), metrics


def test_message_is_unchanged_by_encoding_and_decoding() -> None:
    codec, _ = make_codec(EntryMessage)
    assert codec.decode(codec.encode(DISPATCH)) == DISPATCH


def test_unknown_field_of_a_newer_sender_is_ignored() -> None:
    codec, metrics = make_codec(EntryMessage)
    fields = decode(codec.encode(Hello("entry-1", 4)))
    frame = encode({**fields, "a_later_field": [1, 2]})
    assert codec.decode(frame) == Hello("entry-1", 4)
    assert metrics.counter("bad_frames") == 0


def test_message_of_the_other_direction_is_dropped() -> None:
    codec, metrics = make_codec(EntryMessage)
    assert codec.decode(codec.encode(Refused("r1", ResultCode.LEAVING))) is None
    assert metrics.counter("bad_frames") == 1


@settings(max_examples=300, derandomize=True)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_decoded_or_counted_as_a_bad_frame(frame: bytes) -> None:
    """Guards against a damaged frame that raises in the task that reads it and so ends the task."""
    codec, metrics = make_codec(AgentMessage)
    message = codec.decode(frame)
    assert (message is None) == (metrics.counter("bad_frames") == 1)


@settings(max_examples=200, derandomize=True)
@given(st.integers(0, 10_000), st.integers(0, 255))
def test_a_changed_byte_never_raises(position: int, value: int) -> None:
    codec, _ = make_codec(EntryMessage)
    frame = bytearray(codec.encode(DISPATCH))
    frame[position % len(frame)] = value
    codec.decode(bytes(frame))
