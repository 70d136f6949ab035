"""MessagePack encoding of messages. Frames that cannot be decoded are counted and dropped."""

from typing import Generic, TypeVar

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from ebonyshore.frame.decoding import DECODING_ERRORS
from ebonyshore.frame.metrics import Metrics

MessageT = TypeVar("MessageT")


class MessageCodec(Generic[MessageT]):
    """Encodes messages of any type and decodes those of given types.

    :param message_type: union of the message types to decode.
    :param metrics: counts undecodable frames as ``bad_frames``.
    """

    __slots__ = ("_decoder", "_encoder", "_metrics")

    def __init__(self, message_type: object, metrics: Metrics) -> None:
        self._encoder = Encoder()
        self._decoder: Decoder[MessageT] = Decoder(message_type)
        self._metrics = metrics

    def encode(self, message: Struct) -> bytes:
        """Return the encoded message."""
        return self._encoder.encode(message)

    def decode(self, frame: bytes) -> MessageT | None:
        """Return the decoded message, or ``None`` if the frame is not a valid message.

        A frame that holds a message of another type is not valid either.
        """
        try:
            return self._decoder.decode(frame)
        except DECODING_ERRORS:
            self._metrics.count("bad_frames")
            return None
