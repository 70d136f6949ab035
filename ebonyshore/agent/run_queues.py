"""The queues of waiting requests and the running requests of an agent."""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterator

from ebonyshore.agent.target_run import TargetRun

# At 4 dispatches per second to an agent, this covers more than an hour.
MAX_KNOWN_REQUESTS = 20_000


class RunQueues:
    """The waiting and running requests of one dispatcher.

    Not safe to use from several threads, except where a member says so. Online requests and batch
    items wait in ``online`` and ``batch``. Suspect runs of both classes wait in ``suspects`` until
    no other suspect runs or is next to run. ``running`` has the runs in the target by run id.
    """

    __slots__ = ("_known_requests", "batch", "online", "running", "suspects")

    def __init__(self) -> None:
        self.online: deque[TargetRun] = deque()
        self.batch: deque[TargetRun] = deque()
        self.suspects: deque[TargetRun] = deque()
        self.running: dict[str, TargetRun] = {}
        self._known_requests: OrderedDict[tuple[bytes, str], None] = OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Whether no request waits or runs. Safe to read from any thread."""
        return not (self.online or self.batch or self.suspects or self.running)

    def register_request(self, peer: bytes, request_id: str) -> bool:
        """Record a request id of an entry and return whether it is new.

        Only the last :data:`MAX_KNOWN_REQUESTS` ids are known.

        :param peer: routing id of the entry's socket.
        """
        key = (peer, request_id)
        if key in self._known_requests:
            return False
        self._known_requests[key] = None
        if len(self._known_requests) > MAX_KNOWN_REQUESTS:
            self._known_requests.popitem(last=False)
        return True

    def enqueue(self, run: TargetRun, is_first: bool = False) -> None:
        """Add a run to the queue that it belongs to.

        :param is_first: add it at the head of the queue instead of its end.
        """
        queue = self.queue_of(run)
        if is_first:
            queue.appendleft(run)
        else:
            queue.append(run)

    def queue_of(self, run: TargetRun) -> deque[TargetRun]:
        """Return the queue for a run: the suspects, or that of its work class."""
        if run.is_suspect:
            return self.suspects
        return self.online if run.is_online else self.batch

    def iter_waiting(self) -> Iterator[TargetRun]:
        """Iterate over a copy of all waiting runs, so that the queues may change meanwhile."""
        yield from [*self.online, *self.batch, *self.suspects]

    def remove_waiting(self, run: TargetRun) -> None:
        """Remove a run from the queue in which it waits."""
        for queue in (self.online, self.batch, self.suspects):
            if run in queue:
                queue.remove(run)

    def running_suspects(self) -> list[TargetRun]:
        """Return the suspects that run in the target, in the order of their starts."""
        return [run for run in self.running.values() if run.is_suspect]

    def release_suspect(self, is_deferred: Callable[[TargetRun], bool]) -> None:
        """Move one suspect to the head of its class's queue unless another one runs or is next.

        Online suspects come before batch suspects, and each class in order of arrival.

        :param is_deferred: returns whether a suspect must not run yet.
        """
        if not self.suspects or self.running_suspects():
            return
        if any(run.is_suspect for run in (*self.online, *self.batch)):
            return
        ready = [run for run in self.suspects if not is_deferred(run)]
        run = min(ready, key=lambda run: not run.is_online, default=None)
        if run is None:
            return
        self.suspects.remove(run)
        (self.online if run.is_online else self.batch).appendleft(run)

    def count_running(self) -> tuple[int, int]:
        """Return the numbers of online requests and of batch items that run in the target."""
        online = sum(run.is_online for run in self.running.values())
        return online, len(self.running) - online

    def count_waiting_online(self) -> int:
        """Return the number of waiting online requests, including suspects."""
        return len(self.online) + sum(run.is_online for run in self.suspects)

    def count_waiting_batch(self) -> int:
        """Return the number of waiting batch items, including suspects."""
        return len(self.batch) + sum(not run.is_online for run in self.suspects)
