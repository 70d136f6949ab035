"""HTTP server that stands in for a plain service and records the calls that it receives.

Tests use the records to check that a call that may not be repeated was made once.
"""

import argparse
from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from threading import Lock
from uuid import uuid4

from msgspec import DecodeError
from msgspec.json import decode, encode

from ebonyshore.frame.clock import SystemClock


class ServiceHandler(BaseHTTPRequestHandler):
    """Serves one connection.

    ``POST`` counts a call under the label in its JSON body and echoes label and path; ``GET
    /health`` returns the boot id, and any other ``GET`` the number of calls by label. A call whose
    body has no label is counted under an empty one.

    :cvar delay_ms: time that each call takes.
    :cvar run_counts: number of calls, by label.
    :cvar runs_path: file to which the label of each call is appended as a line, if any.
    :cvar lock: protects ``run_counts`` and the file.
    """

    protocol_version = "HTTP/1.1"
    boot_id = uuid4().hex
    delay_ms = 0.0
    run_counts: Counter[str] = Counter()
    runs_path: Path | None = None
    lock = Lock()
    clock = SystemClock()

    def do_GET(self) -> None:  # noqa: N802 - name given by the base class
        if self.path == "/health":
            self._send_json({"boot_id": self.boot_id})
        else:
            with self.lock:
                self._send_json(dict(self.run_counts))

    def do_POST(self) -> None:  # noqa: N802 - name given by the base class
        data = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        try:
            label = str(decode(data).get("label", ""))
        except (DecodeError, AttributeError):
            label = ""
        with self.lock:
            self.run_counts[label] += 1
            if self.runs_path is not None:
                with self.runs_path.open("a") as runs_file:
                    runs_file.write(label + "\n")
        self.clock.sleep_ms(self.delay_ms)
        self._send_json({"label": label, "path": self.path})

    def log_message(self, format: str, *args: object) -> None:  # noqa: A002
        """Write no access log."""

    def _send_json(self, value: object) -> None:
        data = encode(value)
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


def main() -> None:
    """Serve until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--delay-ms", type=float, default=0.0)
    parser.add_argument("--runs", type=Path, help="file to append the label of each call to")
    arguments = parser.parse_args()
    ServiceHandler.delay_ms = arguments.delay_ms
    ServiceHandler.runs_path = arguments.runs
    ThreadingHTTPServer(("127.0.0.1", arguments.port), ServiceHandler).serve_forever()


if __name__ == "__main__":
    main()
