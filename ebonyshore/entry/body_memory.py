"""Bounds the memory of the request bodies that are handled at the same time.

Worker threads read bodies whole and decode them, so that many large ones at once take far more
memory than any of them may. Small bodies are not counted. Uploads have a bound of their own, so
that they do not keep online requests out.
"""

from threading import Lock

SMALL_BODY_BYTES = 65_536  # always taken
MAX_ONLINE_BYTES = 8 << 20  # of large bodies, from which no further one is taken
MAX_UPLOAD_BYTES = 8 << 20


class BodyMemory:
    """Counts the bodies of one kind that are being handled. Safe for use by several threads.

    :param max_bytes: sum from which no further large body is taken.
    """

    __slots__ = ("_held_bytes", "_lock", "_max_bytes")

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._lock = Lock()

    def take(self, size_bytes: int) -> bool:
        """Count a body if there is room; return whether there is."""
        if size_bytes <= SMALL_BODY_BYTES:
            return True
        with self._lock:
            if self._held_bytes >= self._max_bytes:
                return False
            self._held_bytes += size_bytes
            return True

    def give_back(self, size_bytes: int) -> None:
        """No longer count a body that was taken."""
        if size_bytes > SMALL_BODY_BYTES:
            with self._lock:
                self._held_bytes -= size_bytes
