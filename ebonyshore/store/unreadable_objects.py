"""Reports objects that cannot be read, each content of an object once."""

from hashlib import blake2b

from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics

DIGEST_BYTES = 8
MAX_REMEMBERED_KEYS = 1_000


class UnreadableObjects:
    """Logs and counts objects that cannot be read; safe to use from any thread.

    :param event: name of the event in the log, and of the counter.
    """

    __slots__ = ("_digests", "_event", "_log", "_metrics")

    def __init__(self, log: EventLog, metrics: Metrics, event: str = "object_unreadable") -> None:
        self._log = log
        self._metrics = metrics
        self._event = event
        self._digests: dict[str, bytes] = {}  # of the content that was reported last, by key

    def report(self, key: str, content: bytes, error: str | None = None) -> None:
        """Count and log an object, unless this content of it was the last one reported.

        :param key: key of the object.
        :param content: the bytes that cannot be read.
        :param error: why they cannot be read; ``None`` if that is not known.
        """
        digest = blake2b(content, digest_size=DIGEST_BYTES).digest()
        if self._digests.get(key) == digest:
            return
        if len(self._digests) >= MAX_REMEMBERED_KEYS:
            self._digests.clear()
        self._digests[key] = digest
        self._metrics.count(self._event)
        self._log.event(self._event, key=key, bytes=len(content), error=error)
