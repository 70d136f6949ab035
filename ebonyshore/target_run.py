"""One run of a request on a target, on a worker thread."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from msgspec import DecodeError, Struct
from msgspec.json import Decoder

from ebonyshore.engine import PlainService, TargetAnswer, TargetChunk, TargetRequest
from ebonyshore.errors import TargetCrashedError, TargetError, TargetUnreachableError
from ebonyshore.messages import Chunk, Dispatch, WorkClass


class RunOutcome(Enum):
    """How a run ended."""

    COMPLETE = "complete"
    ABORTED = "aborted"
    CRASHED = "crashed"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"


class RunEnded(Struct, frozen=True):
    """Posted to the dispatcher when a run ends.

    :param boot_id: of the target after a broken stream; empty if it does not answer.
    :param text: generated so far, for runs that can be resumed.
    """

    run_id: str
    outcome: RunOutcome
    answer: TargetAnswer | None = None
    chunk_count: int = 0
    boot_id: str = ""
    text: str = ""
    tokens: int = 0
    detail: str = ""


class _Delta(Struct):
    content: str = ""


class _Choice(Struct):
    finish_reason: str | None = None
    text: str = ""
    delta: _Delta | None = None


class _Event(Struct):
    choices: list[_Choice] = []


_EVENT_DECODER = Decoder(_Event)
ABORT_REASON = "abort"


@dataclass(slots=True)
class TargetRun:
    """A request in the target.

    :param run_id: id of this run in the target; each resumption has another one.
    :param events: events of a batch item, sent as one chunk at its end.
    """

    run_id: str
    peer: bytes
    dispatch: Dispatch
    deadline_ms: float
    queued_ms: float
    started_ms: float = 0.0
    resume_text: str = ""
    events: list[bytes] = field(default_factory=list)
    chunk_count: int = 0
    is_cancelled: bool = False
    is_preempted: bool = False
    preemptions: int = 0

    @property
    def is_online(self) -> bool:
        """Whether the request is online work."""
        return self.dispatch.work_class is WorkClass.ONLINE


def run_on_target(
    target: PlainService,
    run: TargetRun,
    timeout_ms: float,
    send: Callable[[bytes, Chunk], None],
    post: Callable[[RunEnded], None],
) -> None:
    """Run to the end; sends chunks to the entry and posts one :class:`RunEnded`."""
    worker = _RunWorker(target, run, send)
    try:
        ended = worker.run(timeout_ms)
    except TargetUnreachableError as error:
        ended = worker.ended(RunOutcome.UNREACHABLE, detail=error.detail)
    except TargetCrashedError as error:
        ended = worker.ended(
            RunOutcome.CRASHED, boot_id=_boot_id_or_empty(target), detail=error.detail
        )
    except TargetError as error:
        ended = worker.ended(RunOutcome.BROKEN, detail=error.detail)
    except Exception as error:
        # Whatever went wrong, the dispatcher must learn that the run has ended.
        ended = worker.ended(RunOutcome.BROKEN, detail=repr(error))
    post(ended)


def _boot_id_or_empty(target: PlainService) -> str:
    try:
        return target.boot_id()
    except TargetError:
        return ""


class _RunWorker:
    """Collects the text and counts the chunks of one run."""

    __slots__ = ("_is_aborted", "_run", "_send", "_target", "_texts", "_tokens")

    def __init__(
        self, target: PlainService, run: TargetRun, send: Callable[[bytes, Chunk], None]
    ) -> None:
        self._target = target
        self._run = run
        self._send = send
        self._texts: list[str] = []
        self._tokens = 0
        self._is_aborted = False

    def run(self, timeout_ms: float) -> RunEnded:
        run = self._run
        dispatch = run.dispatch
        request = TargetRequest(
            run.run_id, dispatch.path, dispatch.body, timeout_ms, run.resume_text
        )
        for part in self._target.run(request):
            if isinstance(part, TargetAnswer):
                outcome = RunOutcome.ABORTED if self._is_aborted else RunOutcome.COMPLETE
                return self.ended(outcome, answer=part)
            self._take(part)
        return self.ended(RunOutcome.BROKEN, detail="the answer has no end")

    def ended(
        self,
        outcome: RunOutcome,
        answer: TargetAnswer | None = None,
        boot_id: str = "",
        detail: str = "",
    ) -> RunEnded:
        run = self._run
        return RunEnded(
            run.run_id,
            outcome,
            answer,
            run.chunk_count,
            boot_id,
            run.resume_text + "".join(self._texts),
            self._tokens,
            detail,
        )

    def _take(self, chunk: TargetChunk) -> None:
        run = self._run
        if self._note_text(chunk.data):
            return
        if run.is_online:
            message = Chunk(run.dispatch.request_id, run.chunk_count, chunk.data)
            run.chunk_count += 1
            self._send(run.peer, message)
        else:
            run.events.append(chunk.data)

    def _note_text(self, data: bytes) -> bool:
        """Keep the text of a stream event; return whether the engine aborted the stream."""
        if not self._run.dispatch.is_stream:
            return False
        try:
            choices = _EVENT_DECODER.decode(data).choices
        except DecodeError:
            return False
        for choice in choices:
            text = choice.text or (choice.delta.content if choice.delta else "")
            if text:
                self._texts.append(text)
                self._tokens += 1
            self._is_aborted = self._is_aborted or choice.finish_reason == ABORT_REASON
        return self._is_aborted
