"""The requests that an agent holds: waiting online, waiting batch, waiting suspects, running."""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterator

from ebonyshore.agent.target_run import TargetRun

# At 4 dispatches a second and agent, this covers more than an hour.
REMEMBERED_IDS = 20_000


class RunQueues:
    """Queues of one dispatcher; not safe to use from several threads.

    :param suspects: wait until no other suspect is in play.
    :param running: by run id.
    """

    __slots__ = ("_seen", "batch", "online", "running", "suspects")

    def __init__(self) -> None:
        self.online: deque[TargetRun] = deque()
        self.batch: deque[TargetRun] = deque()
        self.suspects: deque[TargetRun] = deque()
        self.running: dict[str, TargetRun] = {}
        self._seen: OrderedDict[tuple[bytes, str], None] = OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Whether nothing is held or running; may be read from any thread."""
        return not (self.online or self.batch or self.suspects or self.running)

    def register_request(self, peer: bytes, request_id: str) -> bool:
        """Return whether a request id of an entry is new, and remember it."""
        key = (peer, request_id)
        if key in self._seen:
            return False
        self._seen[key] = None
        if len(self._seen) > REMEMBERED_IDS:
            self._seen.popitem(last=False)
        return True

    def add(self, run: TargetRun, is_first: bool = False) -> None:
        """Queue a run by its class."""
        queue = self.queue_of(run)
        if is_first:
            queue.appendleft(run)
        else:
            queue.append(run)

    def queue_of(self, run: TargetRun) -> deque[TargetRun]:
        """Return the queue that a waiting run belongs to."""
        if run.is_suspect:
            return self.suspects
        return self.online if run.is_online else self.batch

    def waiting(self) -> Iterator[TargetRun]:
        """Yield a copy of all waiting runs."""
        yield from [*self.online, *self.batch, *self.suspects]

    def drop_waiting(self, run: TargetRun) -> None:
        """Remove a waiting run."""
        for queue in (self.online, self.batch, self.suspects):
            if run in queue:
                queue.remove(run)

    def running_suspects(self) -> list[TargetRun]:
        """Return the suspects in the target, first started first."""
        return [run for run in self.running.values() if run.is_suspect]

    def release_suspect(self, is_held_back: Callable[[TargetRun], bool]) -> None:
        """Let one suspect through to the head of its class if no other is in play."""
        if not self.suspects or self.running_suspects():
            return
        if any(run.is_suspect for run in (*self.online, *self.batch)):
            return
        ready = [run for run in self.suspects if not is_held_back(run)]
        run = min(ready, key=lambda run: not run.is_online, default=None)
        if run is None:
            return
        self.suspects.remove(run)
        (self.online if run.is_online else self.batch).appendleft(run)

    def count_running(self) -> tuple[int, int]:
        """Return how many online and batch requests are in the target."""
        online = sum(run.is_online for run in self.running.values())
        return online, len(self.running) - online

    def waiting_online(self) -> int:
        """Return how many online requests wait, suspects included."""
        return len(self.online) + sum(run.is_online for run in self.suspects)

    def waiting_batch(self) -> int:
        """Return how many batch items wait, suspects included."""
        return len(self.batch) + sum(not run.is_online for run in self.suspects)
