"""A stand-in for the platform's store of objects, with its faults; it speaks HTTP on loopback."""

import json
import sys
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Condition, Thread
from time import monotonic
from urllib.parse import parse_qs, unquote, urlsplit

OBJECTS_PATH = "/ebonyshore/objects/"
MAX_PAGE_ITEMS = 500


class ObjectStoreState:
    """Objects by kind and name, with the changes of each kind."""

    def __init__(self) -> None:
        self.changed = Condition()
        self.revision = 1
        self.oldest_revision = 1
        self.objects: dict[tuple[str, str], dict] = {}
        self.events: list[tuple[int, str, dict]] = []

    def list(self, kind: str, after: str) -> dict:
        """Return a page of a kind's objects."""
        with self.changed:
            names = sorted(name for of_kind, name in self.objects if of_kind == kind)
            names = [name for name in names if name > after]
            page = [self.objects[kind, name] for name in names[:MAX_PAGE_ITEMS]]
            is_truncated = len(names) > MAX_PAGE_ITEMS
            return {"Items": page, "Truncated": is_truncated, "StoreRevision": self.revision}

    def watch(self, kind: str, since: int, wait_s: float) -> dict | None:
        """Return changes after a revision; ``None`` if that history is gone."""
        end = monotonic() + wait_s
        with self.changed:
            while True:
                if since < self.oldest_revision:
                    return None
                found = [
                    event
                    for number, of_kind, event in self.events
                    if number > since and of_kind == kind
                ]
                left = end - monotonic()
                if found or left <= 0:
                    return {"events": found, "StoreRevision": self.revision}
                self.changed.wait(left)

    def write(
        self, kind: str, name: str, field: str, value: object, expected: int | None
    ) -> tuple[int, dict]:
        """Write a field of an object; return the status and the object as it is then."""
        with self.changed:
            status, known = self._find(kind, name, expected)
            if status != 200:
                return status, known
            if known[field] == value:
                return 200, known
            changed = {**known, field: value, "Metadata": dict(known["Metadata"])}
            return 200, self._put(kind, name, changed)

    def create(self, kind: str, name: str, spec: object) -> tuple[int, dict]:
        """Create an object."""
        with self.changed:
            known = self.objects.get((kind, name))
            if known is not None:
                return 409, known
            metadata = {"Name": name, "Finalizers": [], "Deleting": False, "Created": self.revision}
            return 200, self._put(kind, name, {"Metadata": metadata, "Spec": spec, "Status": None})

    def delete(self, kind: str, name: str, expected: int | None) -> tuple[int, dict]:
        """Remove an object."""
        with self.changed:
            status, known = self._find(kind, name, expected)
            if status != 200:
                return status, known
            del self.objects[kind, name]
            self._record_event(kind, known, is_deleted=True)
            return 200, {}  # the object is gone, and is not in the answer

    def _find(self, kind: str, name: str, expected: int | None) -> tuple[int, dict]:
        """Return an object with status 200, or why a call that expects a revision fails."""
        known = self.objects.get((kind, name))
        if known is None:
            return 404, {}
        if expected is not None and expected != known["Metadata"]["Revision"]:
            return 409, known
        return 200, known

    def discard_history(self) -> None:
        """Drop all history, so that watches have to list again."""
        with self.changed:
            self.revision += 1
            self.oldest_revision = self.revision
            self.events.clear()
            self.changed.notify_all()

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write as the operator and targets do: create or replace."""
        status, _ = self.create(kind, name, spec)
        if status == 409:
            self.write(kind, name, "Spec", spec, None)

    def _put(self, kind: str, name: str, changed: dict) -> dict:
        changed["Metadata"]["Revision"] = self.revision + 1
        self.objects[kind, name] = changed
        self._record_event(kind, changed, is_deleted=False)
        return changed

    def _record_event(self, kind: str, changed: dict, is_deleted: bool) -> None:
        self.revision += 1
        self.events.append((self.revision, kind, {"Object": changed, "Deleted": is_deleted}))
        self.changed.notify_all()


class _Server(ThreadingHTTPServer):
    """Does not print the end of a client's connection as an error."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: object, client_address: object) -> None:
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)


class ObjectStoreServer:
    """The server. Faults are switched by setting attributes.

    :ivar fault: called with method and path of each call; returns ``None`` to serve it, a status to
        refuse it, ``"lost"`` to do it and not answer, or ``"reset"`` to close the connection.
    """

    def __init__(self, port: int = 0) -> None:
        self.state = ObjectStoreState()
        self.fault_hook: Callable[[str, str], int | str | None] = lambda _method, _path: None
        self.calls: list[tuple[str, str]] = []
        self._server = _Server(("127.0.0.1", port), _make_handler_class(self))
        self._thread = Thread(target=self._server.serve_forever, args=(0.05,), daemon=True)

    @property
    def address(self) -> str:
        """``IP:PORT`` of the server."""
        return f"127.0.0.1:{self._server.server_port}"

    def start(self) -> None:
        """Begin to serve."""
        self._thread.start()

    def stop(self) -> None:
        """End the server."""
        self._server.shutdown()
        self._server.server_close()

    def serve(self, method: str, target: str, body: bytes) -> tuple[int, dict]:
        """Carry out one call."""
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        kind, _, name = unquote(parts.path.removeprefix(OBJECTS_PATH)).partition("/")
        if method == "GET":
            return self._read(kind, name, query)
        document = json.loads(body) if body else {}
        metadata = document.get("Metadata", {})
        revision = metadata.get("Revision") or query.get("Revision")
        expected = int(revision) if revision else None
        if method == "POST":
            return self.state.create(kind, metadata["Name"], document["Spec"])
        if method == "DELETE":
            return self.state.delete(kind, name, expected)
        name, _, field = name.partition("/")
        if field == "status":
            return self.state.write(kind, name, "Status", document["Status"], expected)
        return self.state.write(kind, name, "Spec", document["Spec"], expected)

    def _read(self, kind: str, name: str, query: dict[str, str]) -> tuple[int, dict]:
        if name:
            with self.state.changed:
                found = self.state.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if "Watch" in query:
            found = self.state.watch(kind, int(query["Watch"]), int(query["WaitMs"]) / 1000)
            return (200, found) if found is not None else (410, {})
        return 200, self.state.list(kind, query.get("After", ""))


def _make_handler_class(platform: ObjectStoreServer) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def _serve(self) -> None:
            body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            platform.calls.append((self.command, self.path))
            fault = platform.fault_hook(self.command, self.path)
            if fault == "reset":
                self.close_connection = True
                return
            if isinstance(fault, int):
                self._answer(fault, {})
                return
            status, document = platform.serve(self.command, self.path, body)
            if fault == "lost":
                self.close_connection = True
                return
            self._answer(status, document)

        def _answer(self, status: int, document: dict) -> None:
            data = json.dumps(document).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        do_GET = do_POST = do_PUT = do_DELETE = _serve  # noqa: N815 - names of the base class

        def log_message(self, *_arguments: object) -> None:
            return

    return Handler
