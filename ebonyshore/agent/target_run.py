"""One run of a request on a target."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from msgspec import DecodeError, Struct
from msgspec.json import Decoder

from ebonyshore.agent.target_client import TargetAnswer, TargetChunk, TargetClient, TargetRequest
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import TargetCrashedError, TargetError, TargetUnreachableError
from ebonyshore.link.messages import Chunk, Dispatch, WorkClass

CHARS_PER_TOKEN = 4
# The engine ends a run at its deadline; the socket's own limit only covers a hung target.
SOCKET_GRACE_MS = 2_000.0


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
    boot_id: str = ""
    text: str = ""
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
    """A request that the agent holds.

    :param run_id: id of this run in the target; each resumption has another one.
    :param boot_id: of the target when the run was started.
    :param events: events of a batch item, sent as one chunk at its end.
    :param run_tokens: generated in this run; written by the worker only.
    :param kept_tokens: generated in earlier runs of a preempted item.
    :param is_answered: whether the entry has the final message already.
    """

    run_id: str
    peer: bytes
    dispatch: Dispatch
    deadline_ms: float
    queued_ms: float
    started_ms: float = 0.0
    boot_id: str = ""
    resume_text: str = ""
    events: list[bytes] = field(default_factory=list)
    chunk_count: int = 0
    run_tokens: int = 0
    kept_tokens: int = 0
    last_token_ms: float = 0.0
    preemptions: int = 0
    is_cancelled: bool = False
    is_preempted: bool = False
    is_suspect: bool = False
    is_answered: bool = False

    @property
    def is_online(self) -> bool:
        """Whether the request is online work."""
        return self.dispatch.work_class is WorkClass.ONLINE

    @property
    def prompt_tokens(self) -> int:
        """Estimated length of the prompt."""
        return len(self.dispatch.body) // CHARS_PER_TOKEN

    @property
    def tokens(self) -> int:
        """Tokens generated in all runs."""
        return self.kept_tokens + self.run_tokens


class RunProgress:
    """Collects the text, sends the chunks and times the tokens of one run.

    :param send: passes a chunk on to an entry.
    :param observe: takes the interval between two tokens.
    """

    __slots__ = ("_clock", "_observe", "_run", "_send", "_texts", "is_aborted")

    def __init__(
        self,
        run: TargetRun,
        send: Callable[[bytes, Chunk], None],
        clock: Clock,
        observe: Callable[[TargetRun, float], None],
    ) -> None:
        self._run = run
        self._send = send
        self._clock = clock
        self._observe = observe
        self._texts: list[str] = []
        self.is_aborted = False

    def add_chunk(self, chunk: TargetChunk) -> None:
        """Take a part of the answer."""
        run = self._run
        if self._note_text(chunk.data):
            return
        if run.is_online:
            message = Chunk(run.dispatch.request_id, run.chunk_count, chunk.data)
            run.chunk_count += 1
            self._send(run.peer, message)
        else:
            run.events.append(chunk.data)

    def make_run_ended(
        self,
        outcome: RunOutcome,
        answer: TargetAnswer | None = None,
        boot_id: str = "",
        detail: str = "",
    ) -> RunEnded:
        """Return the message that ends the run."""
        text = self._run.resume_text + "".join(self._texts)
        return RunEnded(self._run.run_id, outcome, answer, boot_id, text, detail)

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
                self._note_token()
            self.is_aborted = self.is_aborted or choice.finish_reason == ABORT_REASON
        return self.is_aborted

    def _note_token(self) -> None:
        run = self._run
        now_ms = self._clock.monotonic_ms()
        if run.run_tokens:
            self._observe(run, now_ms - run.last_token_ms)
        run.run_tokens += 1
        run.last_token_ms = now_ms


def run_on_target(
    target: TargetClient,
    run: TargetRun,
    timeout_ms: float,
    progress: RunProgress,
    post: Callable[[RunEnded], None],
) -> None:
    """Run to the end on a worker thread; posts one :class:`RunEnded`, whatever happens."""
    try:
        ended = _run(target, run, timeout_ms, progress)
    except TargetUnreachableError as error:
        ended = progress.make_run_ended(RunOutcome.UNREACHABLE, detail=error.detail)
    except TargetCrashedError as error:
        boot_id = boot_id_or_empty(target)
        ended = progress.make_run_ended(RunOutcome.CRASHED, boot_id=boot_id, detail=error.detail)
    except TargetError as error:
        ended = progress.make_run_ended(RunOutcome.BROKEN, detail=error.detail)
    except Exception as error:
        # Whatever went wrong, the dispatcher must learn that the run has ended.
        ended = progress.make_run_ended(RunOutcome.BROKEN, detail=repr(error))
    post(ended)


def boot_id_or_empty(target: TargetClient) -> str:
    """Return the target's boot id, or an empty text if it does not answer."""
    try:
        return target.boot_id()
    except TargetError:
        return ""


def _run(
    target: TargetClient, run: TargetRun, timeout_ms: float, progress: RunProgress
) -> RunEnded:
    dispatch = run.dispatch
    request = TargetRequest(
        run.run_id, dispatch.path, dispatch.body, timeout_ms + SOCKET_GRACE_MS, run.resume_text
    )
    for part in target.run(request):
        if isinstance(part, TargetAnswer):
            outcome = RunOutcome.ABORTED if progress.is_aborted else RunOutcome.COMPLETE
            return progress.make_run_ended(outcome, part)
        progress.add_chunk(part)
    return progress.make_run_ended(RunOutcome.BROKEN, detail="the answer has no end")
