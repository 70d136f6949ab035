"""Runs requests on the target without blocking the dispatcher."""

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
    """Result of a health probe of the target.

    :param boot_id: boot id of the target; empty if it does not answer.
    :param began_ms: monotonic time at which the probe began.
    """

    boot_id: str
    began_ms: float


RunnerEvent = RunEnded | TargetProbed


class TargetRunner(ABC):
    """The dispatcher's interface to the target; no method blocks."""

    @abstractmethod
    def set_callbacks(
        self,
        post: Callable[[RunnerEvent], None],
        send: Callable[[bytes, Chunk], None],
        observe: Callable[[TargetRun, float], None],
    ) -> None:
        """Set the callbacks; called once, before any other method.

        The runner may call them on any of its threads.

        :param post: takes events for the dispatcher.
        :param send: sends a chunk to an entry, given by its routing id.
        :param observe: takes a run and the time in milliseconds between two of its tokens.
        """

    @abstractmethod
    def start(self, run: TargetRun, timeout_ms: float) -> None:
        """Start a run; its end is posted as exactly one :class:`RunEnded`.

        :param timeout_ms: time until the run's deadline, in milliseconds.
        """

    @abstractmethod
    def cancel(self, run_ids: tuple[str, ...]) -> None:
        """Cancel runs as soon as possible, all with one call of the target."""

    @abstractmethod
    def probe(self, does_abort_all: bool) -> None:
        """Probe the target; the result is posted as :class:`TargetProbed`.

        :param does_abort_all: before the result is posted, abort all requests that the target runs,
            such as those of an earlier run of the agent.
        """

    def close(self) -> None:  # noqa: B027 - a runner need not hold resources
        """Release threads and other resources."""


class ThreadRunner(TargetRunner):
    """Runs each request on a worker thread of its own.

    A preempted item occupies its thread until the target confirms the abort, so there are twice as
    many threads as running requests. Cancellations and probes have a separate thread pool.

    :param target: client of the target.
    :param max_running: greatest number of requests that run in the target.
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
            # The runs end without the cancellation, at their deadlines at the latest.
            self._metrics.count("cancel_failures")
            self._log.event("cancel_failed", run_ids=",".join(run_ids), detail=repr(error))

    def _probe(self, does_abort_all: bool) -> None:
        began_ms = self._clock.monotonic_ms()
        boot_id = ""
        try:
            boot_id = self._get_boot_id(does_abort_all)
        except TargetError:
            self._metrics.count("failed_probes")
        except Exception as error:
            self._metrics.count("failed_probes")
            self._log.event("probe_failed", detail=repr(error))
        self._post(TargetProbed(boot_id, began_ms))

    def _get_boot_id(self, does_abort_all: bool) -> str:
        boot_id = self._target.boot_id()
        if does_abort_all and isinstance(self._target, EngineClient):
            self._target.abort_all()
        return boot_id
