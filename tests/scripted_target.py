"""A target on the loopback interface whose answers are scripted byte by byte."""

import asyncio
from collections.abc import Awaitable, Callable

from ebonyshore.platform.wire_names import WIRE_NAMES

Script = Callable[["TargetSession"], Awaitable[None]]


class TargetSession:
    """A request as the target received it, and the connection for the answer."""

    def __init__(self, head, body, reader, writer):
        self.head = head
        self.body = body
        self.reader = reader
        self.writer = writer

    def header(self, name):
        for line in self.head.split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.lower() == name.lower():
                return value.strip()
        return None

    def send(self, text):
        self.writer.write(text if isinstance(text, bytes) else text.encode())

    def send_answer(self, status=200, headers=(), body=b"", request_id=None):
        request_id = request_id or self.header("Attempt-Id")
        id_lines = [] if request_id is None else [f"Attempt-Id: {request_id}"]
        lines = [f"HTTP/1.1 {status} X", *id_lines, *headers]
        self.send("\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body)

    def start_stream(self):
        self.send(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Attempt-Id: {self.header('Attempt-Id')}\r\nServer-Signature: sig\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )

    def send_events(self, first, last):
        for number in range(first, last + 1):
            event = f"id: {number}\ndata: d{number}\n\n"
            self.send(f"{len(event):x}\r\n{event}\r\n")

    def end_stream(self):
        self.send("0\r\n\r\n")

    def reset(self):
        self.writer.transport.abort()


class ScriptedTarget:
    """Runs one script per request, in order; further requests repeat the last script.

    :ivar report: body of its load report.
    """

    def __init__(self, *scripts: Script):
        self.scripts = list(scripts)
        self.sessions: list[TargetSession] = []
        self.connections = 0
        self.report = b""
        self._server = None

    async def start(self):
        """Listen on a free port and return the address as ``HOST:PORT``."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def close(self):
        self._server.close()

    async def before_report(self, session):
        """Write what comes before a load report; nothing by default."""

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                session = TargetSession(head, b"", reader, writer)
                length = int(session.header("content-length") or 0)
                session.body = await reader.readexactly(length)
                if head.startswith(f"GET {WIRE_NAMES.report_path} "):
                    await self.before_report(session)
                    session.send_answer(body=self.report)
                    continue
                self.sessions.append(session)
                script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
                await script(session)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def break_off(session):
    """Send two events and reset the connection."""
    session.start_stream()
    session.send_events(1, 2)
    await session.writer.drain()
    await asyncio.sleep(0.02)
    session.reset()


async def send_complete_stream(session, first=1, last=4):
    """Send a complete stream of events up to ``last``.

    It starts after the request's ``Last-Event-Id``, or with ``first`` if there is none.
    """
    last_event_id = session.header("Last-Event-Id")
    session.start_stream()
    session.send_events(int(last_event_id) + 1 if last_event_id else first, last)
    session.end_stream()
