"""Runs the engine model in real time and delivers its tokens to the request handlers."""

from collections import Counter, deque
from concurrent.futures import ThreadPoolExecutor
from queue import Queue
from threading import Condition
from uuid import uuid4

from msgspec import Struct

from ebonyshore.frame.clock import Clock
from ebonyshore_standins.engine_model import (
    EngineCrashedError,
    EngineModel,
    EngineParameters,
    Step,
    TokenEvent,
)

DEFAULT_MAX_TOKENS = 16
LOAD_REPORT_LAG_MS = 200.0
MAX_STEP_RECORDS = 50_000


class CrashSentinel:
    """Tells the handler of a request that the engine crashed: it must close the connection."""

    __slots__ = ()


class CompletionBody(Struct):
    """The fields of a completion request that the stand-in evaluates.

    :param messages: messages of a chat completion; ``prompt`` is ignored if there are any.
    :param resume_text: text that an earlier run has generated, to continue it.
    """

    model: str
    messages: list[dict[str, object]] = []
    prompt: str = ""
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    resume_text: str = ""

    def prompt_text(self) -> str:
        """Return the prompt, or the chat messages as lines of the form ``role: content``."""
        if not self.messages:
            return self.prompt
        return "\n".join(f"{message['role']}: {message['content']}" for message in self.messages)

    def token_limit(self) -> int:
        """Return the number of tokens to generate, by default :data:`DEFAULT_MAX_TOKENS`."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS


class EngineOptions(Struct, frozen=True):
    """Behaviour of the server.

    :param models: models that are loaded at the start.
    :param restart_ms: time from a crash until the engine answers again.
    :param does_check_fencing: whether to refuse orders with a fencing number below the highest one
        seen for the same duty.
    """

    models: tuple[str, ...]
    restart_ms: float = 1_000.0
    does_check_fencing: bool = False


class StepRecord(Struct, frozen=True):
    """Measurements of one step; counts are by model name.

    :param started_ms: monotonic time, which is comparable between processes of one machine.
    :param step_ms: duration of the step according to the engine model.
    :param sequences: number of sequences in the step.
    :param tokens: number of tokens that the step generated.
    :param finished_tokens: number of tokens of the completions that ended in the step; aborted
        completions do not count.
    """

    started_ms: float
    step_ms: float
    sequences: dict[str, int]
    tokens: dict[str, int]
    finished_tokens: dict[str, int]


class EngineRunner:
    """Executes steps in real time on a thread of its own; all methods are thread-safe.

    :ivar models: names of the loaded models.
    :ivar steps: number of steps since the start, including empty ones.
    :ivar busy_ms: total duration of all steps.
    :ivar tokens: number of tokens delivered since the start.
    :ivar boot_id: changes with each crash of the engine.
    :ivar fencing_numbers: highest fencing number of the accepted orders, by duty; empty if fencing
        numbers are not checked.
    """

    def __init__(self, parameters: EngineParameters, options: EngineOptions, clock: Clock) -> None:
        self.options = options
        self.models = set(options.models)
        self.crash_count = 0
        self.steps = 0
        self.busy_ms = 0.0
        self.tokens = 0
        self.boot_id = uuid4().hex
        self.fencing_numbers: dict[str, int] = {}
        self._parameters = parameters
        self._clock = clock
        self._condition = Condition()
        self._engine = EngineModel(parameters)
        self._queues: dict[str, Queue[TokenEvent | CrashSentinel]] = {}
        self._models_by_request: dict[str, str] = {}
        self._step_records: deque[StepRecord] = deque(maxlen=MAX_STEP_RECORDS)
        self._load_history: deque[tuple[float, int, int, float]] = deque(
            [(0.0, 0, 0, 0.0)], maxlen=512
        )
        self._down_until_ms = 0.0
        self._executor = ThreadPoolExecutor(max_workers=1)
        self._is_stopped = False

    def start(self) -> None:
        """Start executing steps."""
        self._executor.submit(self._run_steps)

    def stop(self) -> None:
        """Stop after the current step and wait for the thread."""
        with self._condition:
            self._is_stopped = True
            self._condition.notify()
        self._executor.shutdown()

    @property
    def is_down(self) -> bool:
        """Whether the engine has crashed and not yet restarted."""
        return self._clock.monotonic_ms() < self._down_until_ms

    def submit(self, request_id: str, body: CompletionBody) -> Queue[TokenEvent | CrashSentinel]:
        """Submit a request and return the queue on which its events arrive.

        The last item is an event with a finish reason, or a :class:`CrashSentinel`.
        """
        queue: Queue[TokenEvent | CrashSentinel] = Queue()
        with self._condition:
            self._queues[request_id] = queue
            self._models_by_request[request_id] = body.model
            self._engine.submit(
                request_id, body.prompt_text(), body.token_limit(), body.resume_text
            )
            self._condition.notify()
        return queue

    def abort(self, request_ids: list[str] | None) -> None:
        """Abort requests.

        :param request_ids: ``None`` to abort all; unknown ids are ignored.
        """
        with self._condition:
            if request_ids is None:
                self._engine.abort_all()
            for request_id in request_ids or ():
                self._engine.abort(request_id)
            self._condition.notify()

    def has_prefix(self, prefix_digest: str) -> bool:
        """Return whether the block with this digest is in the prefix cache."""
        with self._condition:
            return self._engine.has_prefix(prefix_digest)

    def import_prefix(self, prefix_digest: str) -> None:
        """Add a block that another engine exported to the prefix cache."""
        with self._condition:
            self._engine.import_prefix(prefix_digest)

    def load(self) -> dict[str, float]:
        """Return totals since the start, and the load as it was :data:`LOAD_REPORT_LAG_MS` ago."""
        now_ms = self._clock.monotonic_ms()
        with self._condition:
            eligible_loads = [
                load for load in self._load_history if load[0] <= now_ms - LOAD_REPORT_LAG_MS
            ]
            reported_ms, running, waiting, step_ms = (eligible_loads or [self._load_history[0]])[-1]
            return {
                "running": running,
                "waiting": waiting,
                "step_ms": step_ms,
                "age_ms": now_ms - reported_ms,
                "steps": self.steps,
                "busy_ms": self.busy_ms,
                "tokens": self.tokens,
                "crash_count": self.crash_count,
            }

    def cache_events(self, since: int) -> list[dict[str, object]]:
        """Return the changes of the prefix cache after sequence number ``since``.

        Every tenth change is omitted, as if its event had been lost.
        """
        with self._condition:
            changes = self._engine.cache_changes[since:]
        return [
            {"sequence": since + index + 1, "prefix_digest": digest, "is_stored": is_stored}
            for index, (digest, is_stored) in enumerate(changes)
            if (since + index) % 10 != 9
        ]

    def _run_steps(self) -> None:
        while not self._is_stopped:
            with self._condition:
                while not (self._is_stopped or self._engine.running or self._engine.waiting):
                    self._condition.wait()
                try:
                    step = self._engine.step()
                except EngineCrashedError:
                    self._crash()
                    continue
                self._record_load(step.duration_ms)
                self._record_step(step)
            self._deliver_events(step.aborted)
            self._clock.sleep_ms(step.duration_ms)
            self._deliver_events(step.events)

    def _record_load(self, step_ms: float) -> None:
        engine = self._engine
        self.steps += 1
        self.busy_ms += step_ms
        load = (self._clock.monotonic_ms(), len(engine.running), len(engine.waiting), step_ms)
        self._load_history.append(load)

    def _record_step(self, step: Step) -> None:
        if not step.duration_ms:
            return
        models = self._models_by_request
        sequences = Counter(models[s.request_id] for s in self._engine.running)
        tokens: Counter[str] = Counter()
        finished_tokens: Counter[str] = Counter()
        for event in step.events:
            model = models[event.request_id]
            tokens[model] += bool(event.token)
            if event.finish_reason == "stop":
                sequences[model] += 1
                finished_tokens[model] += event.completion_tokens
        now_ms = self._clock.monotonic_ms()
        self._step_records.append(
            StepRecord(
                now_ms, step.duration_ms, dict(sequences), dict(tokens), dict(finished_tokens)
            )
        )

    def step_records(self) -> list[StepRecord]:
        """Return the last :data:`MAX_STEP_RECORDS` steps that were not empty, oldest first."""
        with self._condition:
            return list(self._step_records)

    def _deliver_events(self, events: tuple[TokenEvent, ...]) -> None:
        with self._condition:
            for event in events:
                self.tokens += bool(event.token)
                queue = self._queues.get(event.request_id)
                if queue is not None:
                    queue.put(event)
                if event.finish_reason:
                    self._queues.pop(event.request_id, None)
                    self._models_by_request.pop(event.request_id, None)

    def _crash(self) -> None:
        self.crash_count += 1
        self._down_until_ms = self._clock.monotonic_ms() + self.options.restart_ms
        self.boot_id = uuid4().hex
        self._engine = EngineModel(self._parameters)
        for queue in self._queues.values():
            queue.put(CrashSentinel())
        self._queues.clear()
        self._models_by_request.clear()
