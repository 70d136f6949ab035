"""A small model server as a process of its own, and a network link in front of it.

Run as a program it serves until it is killed: ``servers.py ID PORT EVENT_MS VERSION FRAMING``.
"""

import asyncio
import json
import socket
import subprocess
import sys
import time
from pathlib import Path

FIRST_LINE = 0
SLOTS = 8


def free_port() -> int:
    """Return a TCP port of 127.0.0.1 that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class ServerProcess:
    """A model server that can be killed and started again at its address.

    :param server_id: id in the list of servers.
    :param log: file to which it writes one line for each event that it has sent.
    :param event_ms: time between two events.
    :param framing: ``close`` if answers end with their connections, or ``chunked``.
    :ivar version: version of its software, from the next start on.
    """

    def __init__(
        self, server_id: str, log: Path, event_ms: float = 100.0, framing: str = "close"
    ) -> None:
        self.server_id = server_id
        self.version = "v1"
        self._framing = framing
        self.port = free_port()
        self.log = log
        self._event_ms = event_ms
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process and wait until it listens."""
        arguments = [__file__, self.server_id, str(self.port), str(self._event_ms)]
        arguments += [self.version, self._framing]
        with self.log.open("ab") as log:
            self._process = subprocess.Popen([sys.executable, *arguments], stdout=log)
        for _ in range(200):
            with socket.socket() as probe:
                if probe.connect_ex(("127.0.0.1", self.port)) == 0:
                    return
            time.sleep(0.025)
        raise TimeoutError(f"{self.server_id} does not listen")

    def kill(self) -> None:
        """Kill the process if it runs."""
        if self.is_running:
            self._process.kill()
            self._process.wait(10)

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def born_ms(self) -> int:
        """Return the start of the present process, as it says it."""
        lines = self.log.read_text(encoding="ascii").splitlines()
        return int([line.split()[1] for line in lines if line.startswith("born")][-1])

    def runs(self) -> list[str]:
        """Return one line for each run: the request, and the events that were sent."""
        if not self.log.exists():
            return []
        found: list[list[str]] = []
        active: dict[str, list[str]] = {}
        for line in self.log.read_text(encoding="ascii").splitlines():
            kind, *fields = line.split()
            if kind == "born":
                active.clear()
            elif kind == "run":
                active[fields[0]] = [fields[0], "from", fields[1], "to", "-", "broken off"]
                found.append(active[fields[0]])
            elif kind == "event":
                active[fields[0]][4] = fields[1]
            else:
                active[fields[0]][5] = "complete"
        return [" ".join([self.server_id, "ran", *run]) for run in found]

    def sent_events(self) -> dict[str, int]:
        """Return the number of the last event that was sent for each request, over all starts."""
        sent: dict[str, int] = {}
        for line in self.log.read_text(encoding="ascii").splitlines():
            kind, *fields = line.split()
            if kind == "event":
                sent[fields[0]] = int(fields[1])
        return sent


class Link:
    """A link to a server that may be cut: then it holds back all bytes and ends of connections.

    After the cut each connection goes on at its own time, as the retransmissions of its sender do.

    :param target_port: port of the server.
    :ivar is_cut: whether nothing passes.
    """

    def __init__(self, target_port: int) -> None:
        self.port = free_port()
        self._target_port = target_port
        self._resume_s: dict[int, float] = {}
        self.is_cut = False
        self._spread_s = 0.0
        self._connections = 0

    async def listen(self) -> None:
        """Start to accept connections."""
        await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def cut(self) -> None:
        """Let nothing pass until :meth:`heal`."""
        self.is_cut = True

    def heal(self, spread_s: float) -> None:
        """Let everything pass again.

        :param spread_s: time from one connection of the cut to the next.
        """
        self.is_cut = False
        self._spread_s = spread_s
        now_s = time.monotonic()
        for rank, key in enumerate(sorted(self._resume_s)):
            self._resume_s[key] = now_s + rank * spread_s

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections += 1
        key = self._connections
        self._resume_s[key] = 0.0
        try:
            await self._wait(key)
            to_server = await asyncio.open_connection("127.0.0.1", self._target_port)
        except OSError:
            writer.transport.abort()
            self._resume_s.pop(key, None)
            return
        tasks = [
            asyncio.ensure_future(self._pipe(key, reader, to_server[1])),
            asyncio.ensure_future(self._pipe(key, to_server[0], writer)),
        ]
        await asyncio.wait(tasks)
        self._resume_s.pop(key, None)

    async def _pipe(
        self, key: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        is_reset = False
        try:
            while data := await reader.read(65_536):
                await self._wait(key)
                writer.write(data)
                await writer.drain()
        except OSError:
            is_reset = True
        await self._wait(key)
        if is_reset:
            writer.transport.abort()
        else:
            writer.close()

    async def _wait(self, key: int) -> None:
        while self.is_cut or time.monotonic() < self._resume_s.get(key, 0.0):
            await asyncio.sleep(0.005)


class _Server:
    """Serves requests; the data of each event names the version of the software."""

    def __init__(self, server_id: str, event_ms: float, version: str, framing: str) -> None:
        self._id = server_id
        self._event_ms = event_ms
        self._version = version
        self._is_chunked = framing == "chunked"
        self._born_ms = int(time.time() * 1000)
        self._slots = asyncio.Semaphore(SLOTS)
        self._active = 0
        print("born", self._born_ms, flush=True)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await self._answer(reader, writer):
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the connection goes on."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head[1:] if line)
        }
        await reader.readexactly(int(fields.get("content-length", 0)))
        method, path, _ = head[FIRST_LINE].split(" ")
        if method == "GET":
            self._report(writer)
            return True
        if fields.get("expect-instance", self._id) != self._id:
            writer.write(
                f"HTTP/1.1 421 X\r\nAttempt-Id: {fields.get('attempt-id', '')}\r\n"
                f"Not-Executed: 1\r\nInstance-Id: {self._id}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return True
        async with self._slots:
            self._active += 1
            try:
                await self._stream(fields, writer)
            finally:
                self._active -= 1
        return self._is_chunked

    def _report(self, writer: asyncio.StreamWriter) -> None:
        body = json.dumps(
            {
                "Stage": "both",
                "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                "Busy": False,
                "Sequence": 0,
                "Queued": 0,
                "Active": self._active,
                "KvUsed": 0,
                "KvTotal": 90_000,
                "Handles": 0,
                "born": self._born_ms,
            }
        )
        writer.write(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )

    async def _stream(self, fields: dict[str, str], writer: asyncio.StreamWriter) -> None:
        request_id = fields.get("attempt-id", "")
        first = int(fields.get("last-event-id", 0)) + 1
        last = int(fields.get("length-hint", 20))
        print("run", request_id, first, last, flush=True)
        framing = "Transfer-Encoding: chunked" if self._is_chunked else "Connection: close"
        writer.write(
            f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {request_id}\r\n"
            f"Server-Signature: {self._id}.{request_id}\r\n{framing}\r\n\r\n".encode()
        )
        event_ms = float(fields.get("event-pace", self._event_ms))
        for number in range(first, last + 1):
            await asyncio.sleep(event_ms / 1000)
            event = f"id: {number}\ndata: {request_id}.{number} {self._version}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event) if self._is_chunked else event)
            await writer.drain()
            print("event", request_id, number, flush=True)
        if self._is_chunked:
            writer.write(b"0\r\n\r\n")
        print("end", request_id, flush=True)


async def _main(server_id: str, port: int, event_ms: float, version: str, framing: str) -> None:
    server = _Server(server_id, event_ms, version, framing)
    async with await asyncio.start_server(server.serve, "127.0.0.1", port) as listener:
        await listener.serve_forever()


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1], int(sys.argv[2]), float(sys.argv[3]), *sys.argv[4:]))
