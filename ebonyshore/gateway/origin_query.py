"""A question to other processes for the origin of a stream, and their answers. No I/O."""

from asyncio import Event, timeout
from collections.abc import Collection
from contextlib import suppress

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.host.target import TargetGroup
from ebonyshore.link.datagrams import StreamAnswer

QUERY_INTERVAL_MS = 40.0


class OriginQuery:
    """A question that is sent to other processes until one knows the stream.

    :ivar asked: number of processes that were asked.
    :ivar answers: the last answer of each process, by instance id.
    :ivar origin: the origin of the stream; ``None`` while nobody has told it.
    :ivar peer: instance id of the process that told the origin.
    :ivar is_list_confirmed: whether the list of targets was read after the question was asked.
    """

    __slots__ = ("_is_settled", "answers", "asked", "is_list_confirmed", "origin", "peer")

    def __init__(self) -> None:
        self._is_settled = Event()
        self.asked = 0
        self.answers: dict[str, StreamAnswer] = {}
        self.origin: TargetGroup | None = None
        self.peer: str | None = None
        self.is_list_confirmed = False

    @property
    def versions(self) -> set[str]:
        """The software versions that any process takes to be possible."""
        return {version for answer in self.answers.values() for version in answer.versions}

    def add(self, answer: StreamAnswer) -> None:
        """Add an answer."""
        self.answers[answer.sender] = answer
        if self.origin is None and answer.origin is not None:
            self.origin, self.peer = answer.origin, answer.sender
        if self.origin is not None or len(self.answers) >= self.asked:
            self._is_settled.set()

    def is_complete(self, runners: Collection[str]) -> bool:
        """Return whether no version can be missing in :attr:`versions`.

        That is so if a process answers that knows the past and can read the list. While no runner
        can read the list, because the store is down, it cannot change: then it is enough that a
        process answers that knows the past, and more than half of the runners answer at all.

        :param runners: instance ids of the registered runners.
        """
        with_history = [answer for answer in self.answers.values() if answer.has_history]
        if any(answer.is_list_current for answer in with_history):
            return True
        if any(answer.is_list_current for answer in self.answers.values()):
            return False  # the store is up: the list may have changed for those who can read it
        answered = sum(runner in self.answers for runner in runners)
        return bool(with_history) and 2 * answered > len(runners)

    async def wait(self, asked: int) -> bool:
        """Wait until the origin is known, or all that were asked have answered, or it takes long.

        :param asked: number of processes that were asked, those of earlier rounds included.
        :return: whether all have answered.
        """
        if not asked:
            return True
        self.asked = asked
        if self.origin is None and len(self.answers) < asked:
            self._is_settled.clear()
        with suppress(TimeoutError):
            async with timeout(QUERY_INTERVAL_MS / MS_PER_S):
                await self._is_settled.wait()
        return len(self.answers) >= asked
