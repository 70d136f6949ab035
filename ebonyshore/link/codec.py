"""MessagePack coding of messages. Bad frames are counted and dropped."""

from typing import Generic, TypeVar

from msgspec import DecodeError, Struct
from msgspec.msgpack import Decoder, Encoder

from ebonyshore.frame.metrics import Metrics

MessageT = TypeVar("MessageT")


class MessageCodec(Generic[MessageT]):
    """Encodes any message and decodes those of one direction.

    :param kind: union of the message types to decode.
    :param metrics: counts ``bad_frames``.
    """

    __slots__ = ("_decoder", "_encoder", "_metrics")

    def __init__(self, kind: object, metrics: Metrics) -> None:
        self._encoder = Encoder()
        self._decoder: Decoder[MessageT] = Decoder(kind)
        self._metrics = metrics

    def encode(self, message: Struct) -> bytes:
        """Return the frame of a message."""
        return self._encoder.encode(message)

    def decode(self, frame: bytes) -> MessageT | None:
        """Return the message, or ``None`` for a frame that is none."""
        try:
            return self._decoder.decode(frame)
        except (DecodeError, UnicodeDecodeError):
            self._metrics.count("bad_frames")
            return None
