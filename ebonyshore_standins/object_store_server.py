"""HTTP server on loopback that stands in for the platform's object store, with its faults."""

import json
import sys
from collections.abc import Callable
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Condition, Thread
from time import monotonic
from urllib.parse import parse_qs, unquote, urlsplit

OBJECTS_PATH = "/ebonyshore/objects/"
MAX_PAGE_ITEMS = 500
MAX_READ_BYTES = 65_536
VALUE_BYTES = 1_048_576


class ObjectStoreState:
    """Objects by kind and name, and the history of their changes; thread-safe.

    :param value_bytes: largest size of an object, encoded as JSON in UTF-8.
    :ivar value_bytes: the same; tests may change it.
    :ivar too_large: number of writes that were refused because of their size.
    :ivar changed: condition that protects the other attributes; notified after each change.
    :ivar revision: revision of the last change, of any kind.
    :ivar oldest_revision: lowest revision from which a watch may start.
    :ivar objects: the objects as they are sent, by kind and name.
    :ivar events: revision, kind and watch event of each change in the history.
    """

    def __init__(self, value_bytes: int = VALUE_BYTES) -> None:
        self.value_bytes = value_bytes
        self.too_large = 0
        self.changed = Condition()
        self.revision = 1
        self.oldest_revision = 1
        self.objects: dict[tuple[str, str], dict] = {}
        self.events: list[tuple[int, str, dict]] = []

    def list(self, kind: str, after: str) -> dict:
        """Return a page of at most :data:`MAX_PAGE_ITEMS` objects of a kind, ordered by name.

        :param after: the page starts after this name; empty for the first page.
        """
        with self.changed:
            names = sorted(name for object_kind, name in self.objects if object_kind == kind)
            names = [name for name in names if name > after]
            page = [self.objects[kind, name] for name in names[:MAX_PAGE_ITEMS]]
            is_truncated = len(names) > MAX_PAGE_ITEMS
            return {"Items": page, "Truncated": is_truncated, "StoreRevision": self.revision}

    def watch(self, kind: str, since: int, wait_s: float) -> dict | None:
        """Return the changes of a kind after a revision.

        Waits for a change if there is none yet.

        :param since: revision of the caller's last listing or watch.
        :param wait_s: maximum time to wait, after which no changes are returned.
        :return: ``None`` if the history after ``since`` was discarded.
        """
        deadline_s = monotonic() + wait_s
        with self.changed:
            while True:
                if since < self.oldest_revision:
                    return None
                matching_events = [
                    event
                    for event_revision, event_kind, event in self.events
                    if event_revision > since and event_kind == kind
                ]
                remaining_s = deadline_s - monotonic()
                if matching_events or remaining_s <= 0:
                    return {"events": matching_events, "StoreRevision": self.revision}
                self.changed.wait(remaining_s)

    def write(
        self, kind: str, name: str, field: str, value: object, expected_revision: int | None
    ) -> tuple[int, dict]:
        """Replace a field of an object; writing an equal value creates no new revision.

        :param field: ``Spec`` or ``Status``.
        :param expected_revision: revision that the object must have; ``None`` for any.
        :return: HTTP status and the object after the call: 200, 404 if there is none, 409 if it
            has another revision, or 413 if it would be too large.
        """
        with self.changed:
            status, current = self._find(kind, name, expected_revision)
            if status != 200:
                return status, current
            if current[field] == value:
                return 200, current
            updated = {**current, field: value, "Metadata": dict(current["Metadata"])}
            return self._put(kind, name, updated)

    def create(self, kind: str, name: str, spec: object) -> tuple[int, dict]:
        """Create an object.

        :return: HTTP status and the object after the call: 200, 409 if it exists already, or 413
            if it would be too large.
        """
        with self.changed:
            current = self.objects.get((kind, name))
            if current is not None:
                return 409, current
            metadata = {"Name": name, "Finalizers": [], "Deleting": False, "Created": self.revision}
            return self._put(kind, name, {"Metadata": metadata, "Spec": spec, "Status": None})

    def delete(self, kind: str, name: str, expected_revision: int | None) -> tuple[int, dict]:
        """Delete an object.

        :param expected_revision: revision that the object must have; ``None`` for any.
        :return: HTTP status and a document: 200 and an empty one, 404 if there is no such object,
            or 409 and the object if it has another revision.
        """
        with self.changed:
            status, current = self._find(kind, name, expected_revision)
            if status != 200:
                return status, current
            del self.objects[kind, name]
            self._record_event(kind, current, is_deleted=True)
            return 200, {}  # the response does not contain the deleted object

    def _find(self, kind: str, name: str, expected_revision: int | None) -> tuple[int, dict]:
        """Return the object with status 200, or the error response if it is not as expected."""
        current = self.objects.get((kind, name))
        if current is None:
            return 404, {}
        if expected_revision is not None and expected_revision != current["Metadata"]["Revision"]:
            return 409, current
        return 200, current

    def discard_history(self) -> None:
        """Discard the history of changes, so that clients that watch have to list again."""
        with self.changed:
            self.revision += 1
            self.oldest_revision = self.revision
            self.events.clear()
            self.changed.notify_all()

    def put(self, kind: str, name: str, spec: object) -> None:
        """Create an object or replace its spec, as the operator and the targets do."""
        status, _ = self.create(kind, name, spec)
        if status == 409:
            self.write(kind, name, "Spec", spec, None)

    def _put(self, kind: str, name: str, updated: dict) -> tuple[int, dict]:
        updated["Metadata"]["Revision"] = self.revision + 1
        if _encoded_size(updated) > self.value_bytes:
            self.too_large += 1
            return 413, {}
        self.objects[kind, name] = updated
        self._record_event(kind, updated, is_deleted=False)
        return 200, updated

    def _record_event(self, kind: str, updated: dict, is_deleted: bool) -> None:
        self.revision += 1
        self.events.append((self.revision, kind, {"Object": updated, "Deleted": is_deleted}))
        self.changed.notify_all()


def _encoded_size(document: dict) -> int:
    return len(
        json.dumps(document, ensure_ascii=False, separators=(",", ":")).encode(
            errors="surrogatepass"
        )
    )


class _Server(ThreadingHTTPServer):
    """Does not report connections that a client closed or reset as errors."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: object, client_address: object) -> None:
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)


class ObjectStoreServer:
    """HTTP server of an object store, which runs on its own thread.

    :param port: port on 127.0.0.1; 0 chooses a free one.
    :ivar state: the stored objects; tests may read and write them directly.
    :ivar fault_hook: chooses the fault of each call by its method and path; set it to inject
        faults. It returns ``None`` to serve the call, an HTTP status to refuse it, ``"lost"`` to
        execute it and close the connection without a response, ``"silent"`` to execute it and
        leave the connection open without a response, or ``"reset"`` to close the connection without
        executing it.
    :ivar calls: method and path of each call received.
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
        """Start serving."""
        self._thread.start()

    def stop(self) -> None:
        """Stop serving and close the listening socket."""
        self._server.shutdown()
        self._server.server_close()

    def serve(self, method: str, target: str, body: bytes) -> tuple[int, dict]:
        """Execute one call and return the HTTP status and the JSON document of the response.

        :param target: path and query of the request.
        """
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        kind, _, name = unquote(parts.path.removeprefix(OBJECTS_PATH)).partition("/")
        if method == "GET":
            return self._read(kind, name, query)
        document = json.loads(body) if body else {}
        metadata = document.get("Metadata", {})
        revision = metadata.get("Revision") or query.get("Revision")
        expected_revision = int(revision) if revision else None
        if method == "POST":
            return self.state.create(kind, metadata["Name"], document["Spec"])
        if method == "DELETE":
            return self.state.delete(kind, name, expected_revision)
        name, _, field = name.partition("/")
        if field == "status":
            return self.state.write(kind, name, "Status", document["Status"], expected_revision)
        return self.state.write(kind, name, "Spec", document["Spec"], expected_revision)

    def _read(self, kind: str, name: str, query: dict[str, str]) -> tuple[int, dict]:
        if name:
            with self.state.changed:
                found = self.state.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if "Watch" in query:
            found = self.state.watch(kind, int(query["Watch"]), int(query["WaitMs"]) / 1000)
            return (200, found) if found is not None else (410, {})
        return 200, self.state.list(kind, query.get("After", ""))


class _Connection(BaseHTTPRequestHandler):
    """Sends responses, and leaves some out."""

    protocol_version = "HTTP/1.1"

    def _answer(self, status: int, document: dict) -> None:
        data = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def _fall_silent(self) -> None:
        """Send nothing more until the client closes the connection."""
        self.close_connection = True
        with suppress(OSError):
            while self.rfile.read1(MAX_READ_BYTES):
                pass

    def log_message(self, *_arguments: object) -> None:
        return


def _make_handler_class(server: ObjectStoreServer) -> type[BaseHTTPRequestHandler]:
    class Handler(_Connection):
        def _serve(self) -> None:
            length = int(self.headers.get("Content-Length") or 0)
            body = self.rfile.read(length)
            if len(body) < length:  # the client has ended in the middle of its request
                self.close_connection = True
                return
            server.calls.append((self.command, self.path))
            fault = server.fault_hook(self.command, self.path)
            if fault == "reset":
                self.close_connection = True
                return
            if isinstance(fault, int):
                self._answer(fault, {})
                return
            status, document = server.serve(self.command, self.path, body)
            if fault == "lost":
                self.close_connection = True
                return
            if fault == "silent":
                self._fall_silent()
                return
            self._answer(status, document)

        do_GET = do_POST = do_PUT = do_DELETE = _serve  # noqa: N815 - names of the base class

    return Handler
