"""A loopback TCP proxy that delays, resets, silences and cuts what passes through it."""

import asyncio
from contextlib import suppress

from msgspec import Struct

from ebonyshore_standins.loop_thread import LoopThread


class LinkState(Struct):
    """What the proxy does to its connections; changed while they are open.

    :param delay_s: added to each part that passes.
    :param drops_up: whether what clients send is held back.
    :param drops_down: whether what the server sends is held back.
    :param refuses: whether new connections are reset.
    """

    delay_s: float = 0.0
    drops_up: bool = False
    drops_down: bool = False
    refuses: bool = False


class FaultProxy:
    """One listening port in front of one server.

    :param upstream: ``IP:PORT`` of the server.
    """

    def __init__(self, upstream: str) -> None:
        host, _, port = upstream.rpartition(":")
        self._upstream = (host, int(port))
        self.link = LinkState()
        self._writers: set[asyncio.StreamWriter] = set()
        self._thread = LoopThread()
        self.address = self._thread.start(self._listen())

    def reset_all(self) -> None:
        """Reset the open connections."""
        self._thread.call_soon(self._abort_all)

    def heal(self) -> None:
        """Let all pass again; what was held back is lost with its connections."""
        self.link = LinkState()
        self.reset_all()

    def stop(self) -> None:
        """End the proxy."""
        self._thread.stop()

    def _abort_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _listen(self) -> str:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.link.refuses:
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(*self._upstream)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream_writer}
        try:
            await asyncio.gather(
                self._pump(reader, upstream_writer, is_up=True),
                self._pump(upstream_reader, writer, is_up=False),
            )
        finally:
            self._writers -= {writer, upstream_writer}

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_up: bool
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(65_536):
                if self.link.delay_s:
                    await asyncio.sleep(self.link.delay_s)
                if self.link.drops_up if is_up else self.link.drops_down:
                    continue
                writer.write(data)
                await writer.drain()
        writer.transport.abort() if reader.exception() else writer.close()
