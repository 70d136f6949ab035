"""Starts and ends runs on the target without blocking the dispatcher."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from msgspec import Struct

from ebonyshore.agent.target_client import EngineClient, TargetClient
from ebonyshore.agent.target_run import RunEnded, RunProgress, TargetRun, run_on_target
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import TargetError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.link.messages import Chunk

CONTROL_THREADS = 8


class TargetProbed(Struct, frozen=True):
    """Result of a health probe.

    :param boot_id: empty if the target does not answer.
    :param began_ms: when the probe began.
    """

    boot_id: str
    began_ms: float


RunnerEvent = RunEnded | TargetProbed


class TargetRunner(ABC):
    """What the dispatcher needs of a target; no method blocks."""

    @abstractmethod
    def set_callbacks(
        self,
        post: Callable[[RunnerEvent], None],
        send: Callable[[bytes, Chunk], None],
        observe: Callable[[TargetRun, float], None],
    ) -> None:
        """Set where events and chunks go; called once, before any other method."""

    @abstractmethod
    def start(self, run: TargetRun, timeout_ms: float) -> None:
        """Start a run, which ends with one :class:`RunEnded`."""

    @abstractmethod
    def cancel(self, run_ids: tuple[str, ...]) -> None:
        """End runs as soon as possible, all with one call of the target."""

    @abstractmethod
    def probe(self, does_abort_all: bool) -> None:
        """Answer with :class:`TargetProbed`.

        :param does_abort_all: first end whatever the target runs, such as requests of an earlier
            run of the agent.
        """

    def close(self) -> None:  # noqa: B027 - a runner need not hold resources
        """Release threads."""


class ThreadRunner(TargetRunner):
    """Runs each request on a worker thread.

    Preempted items hold a thread until the target confirms, so there are twice as many threads as
    running requests; control calls have threads of their own.
    """

    def __init__(
        self,
        target: TargetClient,
        max_running: int,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._target = target
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._runs = ThreadPoolExecutor(2 * max_running, thread_name_prefix="target-run")
        self._control = ThreadPoolExecutor(CONTROL_THREADS, thread_name_prefix="target-control")

    def set_callbacks(
        self,
        post: Callable[[RunnerEvent], None],
        send: Callable[[bytes, Chunk], None],
        observe: Callable[[TargetRun, float], None],
    ) -> None:
        self._post = post
        self._send = send
        self._observe = observe

    def start(self, run: TargetRun, timeout_ms: float) -> None:
        progress = RunProgress(run, self._send, self._clock, self._observe)
        self._runs.submit(run_on_target, self._target, run, timeout_ms, progress, self._post)

    def cancel(self, run_ids: tuple[str, ...]) -> None:
        self._control.submit(self._cancel, run_ids)

    def probe(self, does_abort_all: bool) -> None:
        self._control.submit(self._probe, does_abort_all)

    def close(self) -> None:
        self._runs.shutdown(wait=False, cancel_futures=True)
        self._control.shutdown(wait=False, cancel_futures=True)

    def _cancel(self, run_ids: tuple[str, ...]) -> None:
        try:
            self._target.cancel(run_ids)
        except Exception as error:
            # The runs still end, at their deadlines at the latest.
            self._metrics.count("cancel_failures")
            self._log.event("cancel_failed", run_ids=",".join(run_ids), detail=repr(error))

    def _probe(self, does_abort_all: bool) -> None:
        began_ms = self._clock.monotonic_ms()
        boot_id = ""
        try:
            boot_id = self._probe_target(does_abort_all)
        except TargetError:
            self._metrics.count("failed_probes")
        except Exception as error:
            self._metrics.count("failed_probes")
            self._log.event("probe_failed", detail=repr(error))
        self._post(TargetProbed(boot_id, began_ms))

    def _probe_target(self, does_abort_all: bool) -> str:
        boot_id = self._target.boot_id()
        if does_abort_all and isinstance(self._target, EngineClient):
            self._target.abort_all()
        return boot_id
