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
    drops_client_data: bool = False
    drops_server_data: bool = False
    refuses_connections: bool = False


class FaultProxy:
    """One listening port in front of one server.

    :param upstream: ``IP:PORT`` of the server.
    """

    def __init__(self, upstream: str) -> None:
        host, _, port = upstream.rpartition(":")
        self._upstream = (host, int(port))
        self.state = LinkState()
        self._writers: set[asyncio.StreamWriter] = set()
        self._thread = LoopThread()
        self.address = self._thread.start(self._listen())

    def reset_connections(self) -> None:
        """Reset the open connections."""
        self._thread.call_soon(self._abort_connections)

    def restore(self) -> None:
        """Let all pass again; what was held back is lost with its connections."""
        self.state = LinkState()
        self.reset_connections()

    def stop(self) -> None:
        """End the proxy."""
        self._thread.stop()

    def _abort_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _listen(self) -> str:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.state.refuses_connections:
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
                self._forward(reader, upstream_writer, is_from_client=True),
                self._forward(upstream_reader, writer, is_from_client=False),
            )
        finally:
            self._writers -= {writer, upstream_writer}

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_from_client: bool
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(65_536):
                if self.state.delay_s:
                    await asyncio.sleep(self.state.delay_s)
                if self.state.drops_client_data if is_from_client else self.state.drops_server_data:
                    continue
                writer.write(data)
                await writer.drain()
        writer.transport.abort() if reader.exception() else writer.close()
