"""What the system expects of a target: a model engine or a plain service."""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from typing import Literal

from msgspec import Struct


class TargetRequest(Struct, frozen=True):
    """A request to a target.

    :param request_id: under which it can be cancelled.
    :param path: path of the target's API.
    :param body: JSON body.
    :param timeout_ms: time limit of the whole answer.
    :param resume_text: answer so far, which the engine continues.
    """

    request_id: str
    path: str
    body: bytes
    timeout_ms: float
    resume_text: str = ""


class TargetChunk(Struct, frozen=True):
    """A part of an answer.

    :param data: one event of the stream, or a part of a plain answer's body.
    """

    data: bytes


class TargetAnswer(Struct, frozen=True):
    """The end of a complete answer."""

    http_status: int
    content_type: str
    prompt_tokens: int = 0
    completion_tokens: int = 0


class EngineLoad(Struct, frozen=True):
    """Load as the engine reports it, some time ago.

    :param running: sequences in the batch.
    :param waiting: requests in the engine's own queue.
    :param step_ms: time of one step.
    :param age_ms: how old the report is.
    """

    running: int
    waiting: int
    step_ms: float
    age_ms: float


class CacheEvent(Struct, frozen=True):
    """A prompt prefix entered or left the engine's cache."""

    sequence: int
    prefix_digest: str
    is_stored: bool


class EngineOrder(Struct, frozen=True):
    """An order to the engine."""

    duty: str
    fencing_number: int
    action: Literal["load", "unload", "set_role"]
    argument: str


class TargetClient(ABC):
    """A target that answers requests one by one, with no streams to cancel or resume."""

    @abstractmethod
    def run(self, request: TargetRequest) -> Iterator[TargetChunk | TargetAnswer]:
        """Run a request; yields chunks, then one :class:`TargetAnswer`.

        :raises TargetUnreachableError: the request was not sent.
        :raises TargetCrashedError: the answer ended before it was complete.
        """

    @abstractmethod
    def cancel(self, request_ids: tuple[str, ...]) -> None:
        """End running requests as soon as possible; unknown ids are ignored."""

    @abstractmethod
    def boot_id(self) -> str:
        """Return an id that changes with each start of the target.

        :raises TargetUnreachableError: if it does not answer.
        """


class EngineClient(TargetClient):
    """A model engine."""

    @abstractmethod
    def load(self) -> EngineLoad:
        """Return the engine's last load report."""

    @abstractmethod
    def abort_all(self) -> None:
        """End all running requests, such as those of an earlier run of the agent."""

    @abstractmethod
    def cache_events(self, since: int) -> list[CacheEvent]:
        """Return cache events after number ``since``; some may be missing."""

    @abstractmethod
    def order(self, order: EngineOrder) -> None:
        """Carry out an order.

        :raises FencedError: if the engine checks fencing numbers and the number is old.
        """

    @abstractmethod
    def models(self) -> tuple[str, ...]:
        """Return the models that are loaded."""

    @abstractmethod
    def export_kv(self, prefix_digest: str) -> bytes:
        """Return the KV cache of a prefix."""

    @abstractmethod
    def import_kv(self, prefix_digest: str, data: bytes) -> None:
        """Put the KV cache of a prefix into the engine."""
