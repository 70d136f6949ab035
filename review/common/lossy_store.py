"""The project's stand-in store, but a lost answer leaves its connection silent, and values are
limited.

The platform's page on the store: "A connection on which a response is lost returns nothing
further." The project's own stand-in closes the connection instead, which its clients notice.
"Each object [...] is `ValueBytes` at most." The project's own stand-in takes any size.
"""

from collections import Counter
from collections.abc import Callable
from random import Random
from threading import Lock
from time import monotonic

from ebonyshore_standins.object_store_server import ObjectStoreServer


class LossyStore(ObjectStoreServer):
    """A store that loses the answers of a share of all calls for a while.

    :param seed: seed of the choice of lost answers.
    :param value_bytes: size of a value from which a write is refused; ``None`` for no limit.
    :ivar too_large: number of writes that were refused because of their size.
    :ivar loses: decides whether an answer is lost, by method and path.
    :ivar counts: number of answers, and of lost ones, in the present period of loss.
    """

    def __init__(self, seed: int = 0, value_bytes: int | None = None) -> None:
        super().__init__()
        self._random = Random(seed)
        self._lock = Lock()
        self._share = 0.0
        self._until_s = 0.0
        self.counts: Counter[str] = Counter()
        self.lost: list[tuple[float, str, str]] = []
        self.on_lost: Callable[[str, str], None] = lambda _method, _path: None
        self._value_bytes = value_bytes
        self.too_large = 0
        base = self._server.RequestHandlerClass
        store = self

        class Handler(base):
            def _answer(self, status: int, document: dict) -> None:
                if not store.is_lost(self.command, self.path):
                    super()._answer(status, document)
                    return
                # Nothing further is sent; the connection stays open until the client closes it.
                self.close_connection = True
                try:
                    while self.rfile.read1(65_536):
                        pass
                except OSError:
                    return

        self._server.RequestHandlerClass = Handler

    def serve(self, method: str, target: str, body: bytes) -> tuple[int, dict]:
        """Execute a call, unless its value is too large."""
        if self._value_bytes is not None and len(body) > self._value_bytes:
            self.too_large += 1
            return 413, {}
        return super().serve(method, target, body)

    def lose_answers(self, share: float, duration_s: float) -> None:
        """Lose a share of the answers from now on, for a duration."""
        with self._lock:
            self.counts.clear()
            self._share, self._until_s = share, monotonic() + duration_s

    def is_lost(self, method: str, path: str) -> bool:
        """Decide whether the answer that is due now is lost."""
        with self._lock:
            if monotonic() >= self._until_s:
                return False
            self.counts["answers"] += 1
            if self._random.random() >= self._share:
                return False
            self.counts["lost"] += 1
            self.lost.append((monotonic(), method, path))
            return True
