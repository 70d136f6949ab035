"""Callers of the soak test: streams, requests with a single attempt, jobs and configurations."""

from collections.abc import Callable, Sequence
from functools import partial
from http.client import HTTPException
from random import Random
from threading import Event, Lock, Thread
from typing import TypeVar

from ebonyshore.frame.clock import Clock
from ebonyshore_soak.checker import REFUSAL_STATUSES, GuaranteeChecker, JobSize
from ebonyshore_standins.caller_stream import CallerStream
from ebonyshore_standins.fleet_client import (
    cancel_job,
    read_job,
    request_stream,
    stream_data,
    submit_job,
)
from ebonyshore_standins.fleet_config import (
    SINGLE_ATTEMPT_PREFIX,
    make_config,
    route,
)
from ebonyshore_standins.fleet_process import FleetProcess
from ebonyshore_standins.platform_fleet import PlatformFleet

STREAM_EVENTS = 40
SINGLE_ATTEMPT_EVENTS = 12
MAX_STREAM_ATTEMPTS = 3
CRASHING_BODY = b"crashes its targets"
CRASHING_PART = "bad0"
FIRST_PART = "f1f1"  # of all prompts
CALLER_PARTS = ("ca01", "ca02", "ca03")
CALL_TIMEOUT_S = 6.0
SHORT_JOB = JobSize(items=8, events=25)
# Its items run long enough that a runner which stops has stored events of them.
LONG_JOB = JobSize(items=4, events=400)
LONG_JOB_INTERVAL = 4  # one of so many jobs that are not cancelled is a long one
# Large enough that items are still waiting when the cancellation takes effect.
JOB_TO_CANCEL = JobSize(items=150, events=400)
MAX_SUBMIT_ATTEMPTS = 8
SUBMIT_RETRY_MS = 300.0
CANCEL_RATIO = 0.2  # ratio of the jobs that their caller cancels

ResultT = TypeVar("ResultT")


class SoakClients:
    """Runs all callers on their own threads until :meth:`stop`.

    :param checker: gets the responses of all callers.
    :param seed: seed of the random choices of the callers.
    :param accounts: client accounts of the configuration; ``None`` if callers need no key.
    :ivar config_version: newest version of the configuration in the store.
    """

    def __init__(
        self,
        fleet: PlatformFleet,
        checker: GuaranteeChecker,
        seed: int,
        clock: Clock,
        accounts: Sequence[dict[str, object]] | None = None,
    ) -> None:
        self._fleet = fleet
        self._checker = checker
        self._seed = seed
        self._clock = clock
        self._is_stopped = Event()
        self._threads: list[Thread] = []
        self._request_numbers = iter(range(1, 1 << 30))
        self._accounts = accounts
        self._config_lock = Lock()
        self.config_version = 1

    def start(self) -> None:
        """Start the threads of the callers."""
        for number in range(3):
            self._start_thread(self._run_stream_client, number)
        self._start_thread(self._run_single_attempt_client, 10)
        self._start_thread(self._run_job_client, 20)
        self._start_thread(self._run_job_client, 21)
        self._start_thread(self._run_config_changes, 30)
        self._start_thread(self._run_crashing_client, 40)
        self._start_thread(self._run_crashing_part_client, 50)

    def stop(self) -> None:
        """Stop the callers and wait for each thread for up to 60 s."""
        self._is_stopped.set()
        for thread in self._threads:
            thread.join(60)

    def write_config(
        self, accounts: Sequence[dict[str, object]] | None = None, version_step: int = 1
    ) -> int:
        """Write a new version of the configuration to the store and return it.

        :param accounts: the client accounts from now on; those of the last version if omitted.
        """
        with self._config_lock:
            self._accounts = accounts or self._accounts
            self.config_version += version_step
            extra_route = route("new", config_prefix(self.config_version), "streaming")
            config = make_config(self.config_version, extra_route, accounts=self._accounts)
            self._fleet.platform.state.put("config", "main", config)
            return self.config_version

    def read_results(self, job_id: str, first: int = 0, entry: FleetProcess | None = None) -> bool:
        """Read a page of results of a job.

        :param first: position of the first result to read.
        :param entry: a random one if omitted.
        :return: whether the page contains the last result of the job.
        """
        if entry is None:
            entry = Random(f"{self._seed}/{job_id}/{first}").choice(self._fleet.entries)
        response = self.call_or_none(lambda: read_job(entry, job_id, first, CALL_TIMEOUT_S))
        if response is None or response[0] == 503:
            return False
        status, page = response
        if status != 200:
            self._checker.report_violation(
                f"job {job_id}: reading the results returned status {status}"
            )
            return False
        self._checker.check_page(job_id, first, page)
        return first + len(page["Results"]) == page["Total"]

    def has_config(self, entry: FleetProcess, version: int) -> bool:
        """Return whether an entry serves the route that only one configuration version has.

        The checker gets the version if the process was not restarted during the request.
        """
        pid = entry.pid
        request_id = f"config-{next(self._request_numbers)}"
        response = self.call_or_none(
            lambda: request_stream(entry, request_id, config_prefix(version), 1, CALL_TIMEOUT_S)
        )
        is_served = response is not None and response[0] == 200
        if is_served and entry.pid == pid:
            self._checker.check_config(entry.name, pid, version)
        return is_served

    def send_stream(self, name: str) -> bool:
        """Request a stream at one entry after the other; return whether it was complete."""
        entry = self._fleet.entries[next(self._request_numbers) % len(self._fleet.entries)]
        stream = CallerStream(name, SINGLE_ATTEMPT_EVENTS)
        self.call_or_none(partial(stream.read, entry, timeout_s=CALL_TIMEOUT_S))
        return stream.is_complete

    def send_crashing_request(self, entry: FleetProcess) -> None:
        """Send a request that crashes each target that runs it."""
        request_id = f"crash-{next(self._request_numbers)}"
        response = self.call_or_none(
            lambda: request_stream(
                entry, request_id, SINGLE_ATTEMPT_PREFIX, 1, CALL_TIMEOUT_S, CRASHING_BODY
            )
        )
        if response is not None:
            self._checker.count(f"crash_{response[0]}")

    def send_request_with_crashing_part(self, entry: FleetProcess) -> None:
        """Send a request that differs from all others, but for a part that crashes targets."""
        number = next(self._request_numbers)
        parts = (FIRST_PART, CALLER_PARTS[number % 3], CRASHING_PART, f"{number:x}")
        response = self.call_or_none(
            lambda: request_stream(
                entry,
                f"part-{number}",
                SINGLE_ATTEMPT_PREFIX,
                1,
                CALL_TIMEOUT_S,
                f"body {number}".encode(),
                parts,
            )
        )
        if response is not None:
            self._checker.count(f"part_{response[0]}")

    def send_single_attempt_request(self, number: int) -> bool:
        """Send a sound request to the entries in turn; return whether it was answered."""
        entry = self._fleet.entries[number % len(self._fleet.entries)]
        return self._send_single_attempt_request(entry)

    def _start_thread(self, run: Callable[[Random], None], number: int) -> None:
        thread = Thread(target=run, args=(Random(f"{self._seed}/{number}"),), daemon=True)
        self._threads.append(thread)
        thread.start()

    def call_or_none(self, call: Callable[[], ResultT]) -> ResultT | None:
        """Return the result of a call, or ``None`` if no complete response was received."""
        try:
            return call()
        except (OSError, HTTPException):
            self._checker.count("calls_without_answer")
            return None

    def _send_single_attempt_request(self, entry: FleetProcess) -> bool:
        number = next(self._request_numbers)
        request_id = f"once-{number}"
        parts = (FIRST_PART, CALLER_PARTS[number % 3], f"{number:x}")
        response = self.call_or_none(
            lambda: request_stream(
                entry,
                request_id,
                SINGLE_ATTEMPT_PREFIX,
                SINGLE_ATTEMPT_EVENTS,
                CALL_TIMEOUT_S,
                parts=parts,
            )
        )
        if response is None:
            return False
        status, _, body = response
        if status == 200:
            self._checker.check_stream(request_id, SINGLE_ATTEMPT_EVENTS, stream_data(body))
        elif status in REFUSAL_STATUSES:
            self._checker.refused_request_ids.add(request_id)
        elif status == 404:
            self._checker.report_violation(f"request {request_id} returned status 404")
        self._checker.count(f"once_{status}")
        return status == 200

    def _run_stream_client(self, random: Random) -> None:
        while not self._is_stopped.wait(random.uniform(0.0, 0.1)):
            self._read_stream(random)

    def _read_stream(self, random: Random) -> None:
        """Read a stream and take it up at a random entry each time that it breaks off.

        Some callers close their first connection midway themselves.
        """
        stream = CallerStream(f"stream-{next(self._request_numbers)}", STREAM_EVENTS)
        until_event = random.choice(
            [STREAM_EVENTS, STREAM_EVENTS, random.randint(1, STREAM_EVENTS)]
        )
        for _ in range(MAX_STREAM_ATTEMPTS):
            entry = random.choice(self._fleet.entries)
            status = self.call_or_none(partial(stream.read, entry, until_event, CALL_TIMEOUT_S))
            until_event = STREAM_EVENTS
            name = "taken" if len(stream.statuses) > 1 else "stream"
            self._checker.count(f"{name}_{status}")
            if status == 404:
                self._checker.report_violation(f"request {stream.name} returned status 404")
            if status not in (None, 200) or stream.is_complete:
                break
        if stream.is_complete:
            self._checker.check_stream(stream.stream_id, STREAM_EVENTS, "\n".join(stream.data))

    def _run_single_attempt_client(self, random: Random) -> None:
        while not self._is_stopped.wait(random.uniform(0.0, 0.1)):
            self._send_single_attempt_request(random.choice(self._fleet.entries))

    def _run_crashing_client(self, random: Random) -> None:
        while not self._is_stopped.wait(random.uniform(0.3, 1.5)):
            self.send_crashing_request(random.choice(self._fleet.entries))

    def _run_crashing_part_client(self, random: Random) -> None:
        while not self._is_stopped.wait(random.uniform(0.3, 1.5)):
            self.send_request_with_crashing_part(random.choice(self._fleet.entries))

    def _run_job_client(self, random: Random) -> None:
        while not self._is_stopped.wait(random.uniform(0.2, 0.8)):
            number = next(self._request_numbers)
            job_id = f"job{number}"
            will_cancel = random.random() < CANCEL_RATIO
            size = SHORT_JOB if number % LONG_JOB_INTERVAL else LONG_JOB
            if not self._submit_with_retries(
                random, job_id, JOB_TO_CANCEL if will_cancel else size
            ):
                continue
            if will_cancel:
                self._cancel(random, job_id)
            self._read_random_pages(random, job_id)

    def _submit_with_retries(self, random: Random, job_id: str, size: JobSize) -> bool:
        """Submit a job until it is accepted, up to ``MAX_SUBMIT_ATTEMPTS`` times.

        Like a real caller, it also submits again after a call without a response.
        """
        is_refused = True
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            entry = random.choice(self._fleet.entries)
            status = self.call_or_none(
                lambda entry=entry: submit_job(
                    entry, job_id, size.items, size.events, CALL_TIMEOUT_S
                )
            )
            if status == 202:
                self._checker.accepted_jobs[job_id] = size
                self._checker.count("jobs_accepted")
                return True
            is_refused = is_refused and status == 503
            self._clock.sleep_ms(SUBMIT_RETRY_MS)
        if is_refused:
            self._checker.refused_jobs[job_id] = size
        self._checker.count("jobs_refused" if is_refused else "jobs_unsure")
        return False

    def _read_random_pages(self, random: Random, job_id: str) -> None:
        """Read three pages of results, each from a random position."""
        for _ in range(3):
            self._clock.sleep_ms(random.uniform(100.0, 400.0))
            self.read_results(job_id, random.randrange(self._checker.result_count(job_id) + 1))

    def cancel_unsure_jobs(self, timeout_ms: float) -> None:
        """Repeat the cancellations that got no response, once faults are over.

        One that is not acknowledged in time is reported as a violation.
        """
        end_ms = self._clock.monotonic_ms() + timeout_ms
        unsure = self._checker.cancelled_jobs - self._checker.cancel_acknowledged_ms.keys()
        for job_id in sorted(unsure):
            entry = self._fleet.entries[-1]
            while not self._cancel_once(entry, job_id):
                if self._clock.monotonic_ms() > end_ms:
                    self._checker.report_violation(f"job {job_id} cannot be cancelled")
                    return
                self._clock.sleep_ms(SUBMIT_RETRY_MS)

    def _cancel(self, random: Random, job_id: str) -> None:
        # Without a response the job may be cancelled all the same.
        self._checker.cancelled_jobs.add(job_id)
        is_sure = self._cancel_once(random.choice(self._fleet.entries), job_id)
        self._checker.count("ends_sure" if is_sure else "ends_unsure")

    def _cancel_once(self, entry: FleetProcess, job_id: str) -> bool:
        """Cancel a job; return whether that was acknowledged."""
        status = self.call_or_none(lambda: cancel_job(entry, job_id, CALL_TIMEOUT_S))
        if status == 200:
            self._checker.cancel_acknowledged_ms[job_id] = self._clock.monotonic_ms()
        return status == 200

    def _run_config_changes(self, random: Random) -> None:
        while not self._is_stopped.wait(random.uniform(0.3, 1.0)):
            previous_version = self.config_version
            written_version = self.write_config(version_step=random.randint(1, 3))
            self._is_stopped.wait(random.uniform(0.1, 0.6))
            entry = random.choice(self._fleet.entries)
            for version in (written_version, previous_version):
                self.has_config(entry, version)


def config_prefix(version: int) -> str:
    """Return the path prefix of the route that only this version of the configuration has."""
    return f"/c{version}/"
