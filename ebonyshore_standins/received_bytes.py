"""Passes bytes to a protocol as an event loop does that has read them from a socket."""

from asyncio import BufferedProtocol


def feed_bytes(connection: BufferedProtocol, data: bytes) -> None:
    """Let a connection receive data, in as many parts as its buffer needs."""
    while data:
        buffer = connection.get_buffer(len(data))
        part = data[: len(buffer)]
        buffer[: len(part)] = part
        connection.buffer_updated(len(part))
        data = data[len(part) :]
