"""TCP proxy on loopback that can delay or drop data and reset or refuse connections."""

import asyncio
from contextlib import suppress

from msgspec import Struct

from ebonyshore_standins.loop_thread import LoopThread


class LinkState(Struct):
    """Faults that the proxy applies to its connections, also to those already open.

    :param delay_s: delay added to each block of data that is forwarded.
    :param drops_client_data: whether data from clients is discarded.
    :param drops_server_data: whether data from the server is discarded.
    :param refuses_connections: whether new connections are reset.
    """

    delay_s: float = 0.0
    drops_client_data: bool = False
    drops_server_data: bool = False
    refuses_connections: bool = False


class FaultProxy:
    """Forwards connections from a port on loopback to one server, on a thread of its own.

    :param upstream: ``IP:PORT`` of the server.
    :ivar address: ``IP:PORT`` at which the proxy listens.
    :ivar state: faults in force; replace it to change them.
    """

    def __init__(self, upstream: str) -> None:
        host, _, port = upstream.rpartition(":")
        self._upstream = (host, int(port))
        self.state = LinkState()
        self._writers: set[asyncio.StreamWriter] = set()
        self._thread = LoopThread()
        self.address = self._thread.start(self._listen())

    def reset_connections(self) -> None:
        """Reset all open connections."""
        self._thread.call_soon(self._abort_connections)

    def restore(self) -> None:
        """Remove all faults and reset the open connections, as data dropped from them is lost."""
        self.state = LinkState()
        self.reset_connections()

    def stop(self) -> None:
        """Stop listening and end the thread of the proxy."""
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
        has_lost_data = False
        with suppress(OSError):
            while data := await reader.read(65_536):
                if self.state.delay_s:
                    await asyncio.sleep(self.state.delay_s)
                drops = (
                    self.state.drops_client_data if is_from_client else self.state.drops_server_data
                )
                # TCP delivers nothing after bytes that were lost.
                has_lost_data = has_lost_data or drops
                if has_lost_data:
                    continue
                writer.write(data)
                await writer.drain()
        # The end of a stream is not delivered either if bytes before it were lost.
        is_cut = has_lost_data or reader.exception() is not None
        writer.transport.abort() if is_cut else writer.close()
