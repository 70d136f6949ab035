"""Floods a batch route that limits its waiting tokens, and checks the limit from outside."""

from collections.abc import Sequence
from random import Random
from threading import Event, Thread

from msgspec import Struct

from ebonyshore.frame.clock import Clock
from ebonyshore_soak.checker import REFUSAL_STATUSES, GuaranteeChecker, JobSize
from ebonyshore_soak.clients import CALL_TIMEOUT_S, SoakClients
from ebonyshore_standins.fleet_client import ITEM_TOKENS, submit_job
from ebonyshore_standins.fleet_config import LIMITED_PREFIX, MAX_WAITING_TOKENS
from ebonyshore_standins.fleet_process import FleetProcess
from ebonyshore_standins.platform_fleet import PlatformFleet
from ebonyshore_standins.stream_target import RunRecord

FLOODING_CLIENTS = 2
FLOOD_JOB = JobSize(items=8, events=100)
FILLING_JOB = JobSize(items=MAX_WAITING_TOKENS // ITEM_TOKENS, events=400)
ALLOWED_OVERAGE = 0.1  # of the limit, by the platform's rule
# For a job that fits, once all faults and all other jobs have ended. The store may perform a write
# without an answer up to 6 s later, so a job whose storing has an unknown outcome counts for 8 s.
FIT_TIMEOUT_MS = 8_000.0 + 4_000.0
RETRY_MS = 300.0


class Acceptance(Struct, frozen=True):
    """An accepted job and the monotonic time of the response."""

    job_id: str
    size: JobSize
    accepted_ms: float


def first_completions(runs: Sequence[RunRecord]) -> dict[str, float]:
    """Return the time at which a target first completed each request.

    An item runs again if its owner died before it stored the result. It has not been waiting since
    its first complete run.
    """
    ended_ms: dict[str, float] = {}
    for run in runs:
        if run.is_complete:
            known_ms = ended_ms.get(run.request_id, float("inf"))
            ended_ms[run.request_id] = min(known_ms, run.ended_ms)
    return ended_ms


class LimitedJobsClient:
    """Submits more jobs to the limited route than fit, on its own threads until :meth:`stop`.

    :param clients: makes calls whose responses may be lost.
    :param checker: gets the accepted and refused jobs.
    """

    def __init__(
        self,
        fleet: PlatformFleet,
        clients: SoakClients,
        checker: GuaranteeChecker,
        seed: int,
        clock: Clock,
    ) -> None:
        self._fleet = fleet
        self._clients = clients
        self._checker = checker
        self._seed = seed
        self._clock = clock
        self._accepted: list[Acceptance] = []
        self._is_stopped = Event()
        self._threads = [
            Thread(target=self._flood, args=(number,), daemon=True)
            for number in range(FLOODING_CLIENTS)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop submitting and wait for the threads."""
        self._is_stopped.set()
        for thread in self._threads:
            thread.join(60)

    def check_limit(self, runs: Sequence[RunRecord]) -> None:
        """Check that at no acceptance more tokens were waiting than the limit allows."""
        ended_ms = first_completions(runs)
        most_tokens = 0
        for current in self._accepted:
            at_ms = current.accepted_ms
            waiting = [
                item
                for job in self._accepted
                if job.accepted_ms <= at_ms
                for item in range(job.size.items)
                if ended_ms.get(f"{job.job_id}-{item}", float("inf")) > at_ms
            ]
            most_tokens = max(most_tokens, len(waiting) * ITEM_TOKENS)
        self._checker.counts["most_waiting_tokens"] = most_tokens
        if most_tokens > MAX_WAITING_TOKENS * (1 + ALLOWED_OVERAGE):
            self._checker.report_violation(
                f"{most_tokens} tokens were waiting, {MAX_WAITING_TOKENS} are allowed"
            )

    def check_room(self) -> None:
        """Check that a job that fits exactly is accepted, and one more is refused.

        To be called once all faults and all accepted jobs have ended.
        """
        end_ms = self._clock.monotonic_ms() + FIT_TIMEOUT_MS
        while not self._submit(self._fleet.entries[0], f"fit-{self._seed}", FILLING_JOB):
            if self._clock.monotonic_ms() > end_ms:
                self._checker.report_violation("a job was refused although no other one waits")
                return
            self._clock.sleep_ms(RETRY_MS)
        if self._submit(self._fleet.entries[-1], f"over-{self._seed}", FLOOD_JOB):
            self._checker.report_violation("a job was accepted although the limit is used up")

    def _flood(self, number: int) -> None:
        random = Random(f"{self._seed}/limited/{number}")
        job_number = 0
        while not self._is_stopped.wait(random.uniform(0.02, 0.2)):
            job_number += 1
            job_id = f"limited{number}x{job_number}"
            self._submit(random.choice(self._fleet.entries), job_id, FLOOD_JOB)

    def _submit(self, entry: FleetProcess, job_id: str, size: JobSize) -> bool:
        """Submit a job once; return whether it was accepted."""
        status = self._clients.call_or_none(
            lambda: submit_job(
                entry, job_id, size.items, size.events, CALL_TIMEOUT_S, LIMITED_PREFIX
            )
        )
        self._checker.count(f"limited_{status}")
        if status == 202:
            self._accepted.append(Acceptance(job_id, size, self._clock.monotonic_ms()))
            self._checker.accepted_jobs[job_id] = size
        elif status in REFUSAL_STATUSES:
            self._checker.refused_jobs[job_id] = size
        return status == 202
