"""Callers of client accounts: quotas, a limit that falls, and a key that is removed."""

from collections.abc import Callable, Sequence
from functools import partial
from random import Random
from threading import Event, Thread

from msgspec import Struct

from ebonyshore.frame.clock import MS_PER_S, Clock
from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore_soak.account_checks import (
    ACCOUNT_PREFIX,
    HIGH_LIMIT,
    HOT,
    LOW_LIMIT,
    MAIN,
    NOBODY,
    OWNED_JOB_PREFIX,
    QUOTA_WINDOW_MS,
    ROTATING,
    STEADY,
    AccountRequest,
    check_headers,
    check_quota,
    check_removed_key,
    check_steady_requests,
)
from ebonyshore_soak.checker import REFUSAL_STATUSES, GuaranteeChecker, JobSize
from ebonyshore_soak.clients import CALL_TIMEOUT_S, SoakClients
from ebonyshore_soak.proxy import FaultProxy, LinkState
from ebonyshore_standins.fleet_client import read_job, request_stream, submit_job
from ebonyshore_standins.fleet_config import SINGLE_ATTEMPT_PREFIX, account
from ebonyshore_standins.fleet_process import FleetProcess
from ebonyshore_standins.platform_fleet import PlatformFleet
from ebonyshore_standins.stream_target import RunRecord

REMOVED_KEY = "key-rotating-old"
KEPT_KEY = "key-rotating-new"
STEADY_RATE_PER_S, STEADY_BURST = 90.0, 45.0
EVENTS = 2  # of each stream
SPELL_MS = 1_500.0  # spells of the hot account alternate with pauses of the same length
SPOOFING_INTERVAL = 5  # one of so many requests names an account itself
CHANGE_DELAY_MS = (500.0, 1_500.0)  # until the limit falls, and then until the key is removed
CUT_MS = 4_000.0  # longer than the bound on the use of removed keys
CALM_MS = 8_000.0  # time for which requests are sent without faults
JOB_SIZE = JobSize(items=6, events=100)
JOB_TIMEOUT_MS = 30_000.0
JOB_RETRY_MS = 200.0
JOB_PAUSE_S = (0.1, 0.3)  # between two calls of the client for jobs
PAUSE_SPREAD = (0.9, 1.1)  # factors of the pause of a sender
JOIN_TIMEOUT_S = 60.0


class Sender(Struct, frozen=True):
    """Threads that send requests of an account, to one entry each.

    :param key: ``None`` to send no key.
    :param pause_ms: time from an answer until the thread sends the next request.
    :param threads: number of threads for each entry.
    """

    account: str
    key: str | None
    pause_ms: float
    threads: int = 1


_COMMON_SENDERS = (
    Sender(HOT, f"key-{HOT}", 40.0, threads=2),
    Sender(ROTATING, REMOVED_KEY, 60.0, threads=2),
    Sender(ROTATING, KEPT_KEY, 200.0),
    Sender(NOBODY, None, 300.0),
    Sender(NOBODY, "key-unknown", 300.0),
)
FAULT_SENDERS = (*_COMMON_SENDERS, *(Sender(name, f"key-{name}", 200.0) for name in STEADY))
# At most 70 requests a second of each steady account at two entries, below its rate.
CALM_SENDERS = (
    *_COMMON_SENDERS,
    *(Sender(name, f"key-{name}", 57.0, threads=2) for name in STEADY),
)


def make_accounts(
    has_high_limit: bool = True, has_removed_key: bool = True
) -> list[dict[str, object]]:
    """Return the accounts of the configuration; the first one is that of all other callers.

    :param has_high_limit: whether the limit of the hot account has not fallen yet.
    :param has_removed_key: whether the key that is to be removed is still there.
    """
    hot = HIGH_LIMIT if has_high_limit else LOW_LIMIT
    keys = (REMOVED_KEY, KEPT_KEY) if has_removed_key else (KEPT_KEY,)
    return [
        account(MAIN, f"key-{MAIN}"),
        account(HOT, f"key-{HOT}", rate_per_s=hot.rate_per_s, burst=hot.burst),
        account(ROTATING, *keys),
        *(
            account(name, f"key-{name}", rate_per_s=STEADY_RATE_PER_S, burst=STEADY_BURST)
            for name in STEADY
        ),
    ]


class AccountClients:
    """Sends requests and jobs of several accounts, on threads of its own.

    :param clients: makes calls whose responses may be lost, and writes the configuration.
    :param checker: gets the refused requests and the jobs.
    :param entry_store_proxies: proxies between the entries and the store.
    """

    def __init__(
        self,
        fleet: PlatformFleet,
        clients: SoakClients,
        checker: GuaranteeChecker,
        entry_store_proxies: Sequence[FaultProxy],
        seed: int,
        clock: Clock,
    ) -> None:
        self._fleet = fleet
        self._clients = clients
        self._checker = checker
        self._entry_store_proxies = entry_store_proxies
        self._seed = seed
        self._clock = clock
        self._requests: dict[str, AccountRequest] = {}
        self._request_numbers = iter(range(1, 1 << 30))
        self._jobs: list[str] = []
        self._removed_ms: float | None = None
        self._low_limit_binds_ms = float("inf")
        self._is_stopped = Event()
        self._threads: list[Thread] = []

    def start(self) -> None:
        """Start the threads for the time with faults."""
        self._start_senders(FAULT_SENDERS)
        self._start_thread(self._change_accounts)
        self._start_thread(self._run_job_client)

    def stop(self) -> None:
        """Stop the threads and wait for them."""
        self._is_stopped.set()
        for thread in self._threads:
            thread.join(JOIN_TIMEOUT_S)
        self._threads.clear()

    def run_calm_load(self, in_force_ms: float) -> None:
        """Send requests without faults, and check that hardly any within a limit is refused.

        :param in_force_ms: monotonic time since which all entries have the lower limit.
        """
        self._is_stopped.clear()
        self._low_limit_binds_ms = in_force_ms + QUOTA_WINDOW_MS
        began_ms = self._clock.monotonic_ms()
        self._start_senders(CALM_SENDERS)
        self._clock.sleep_ms(CALM_MS)
        self.stop()
        calm = [r for r in self._requests.values() if r.sent_ms >= began_ms]
        check_steady_requests(calm, self._checker)

    def check_jobs(self) -> None:
        """Check that the jobs that were submitted with the removed key have ended as usual."""
        end_ms = self._clock.monotonic_ms() + JOB_TIMEOUT_MS
        open_jobs = set(self._jobs)
        while open_jobs and self._clock.monotonic_ms() < end_ms:
            entry = self._fleet.entries[0]
            open_jobs = {job_id for job_id in open_jobs if not self._read(entry, job_id)}
            self._clock.sleep_ms(JOB_RETRY_MS)
        self._checker.counts["owned_jobs"] = len(self._jobs)
        self._checker.accepted_jobs |= dict.fromkeys(self._jobs, JOB_SIZE)

    def check_runs(self, runs: Sequence[RunRecord]) -> None:
        """Check the runs of all targets against what the callers sent."""
        check_headers(runs, self._checker)
        check_removed_key(runs, self._requests, REMOVED_KEY, self._removed_ms, self._checker)
        check_quota(runs, self._requests, HIGH_LIMIT, 0.0, self._checker)
        check_quota(runs, self._requests, LOW_LIMIT, self._low_limit_binds_ms, self._checker)

    def _start_senders(self, senders: Sequence[Sender]) -> None:
        for sender in senders:
            for entry in self._fleet.entries * sender.threads:
                self._start_thread(partial(self._send_until_stopped, sender, entry))

    def _start_thread(self, run: Callable[[Random], None]) -> None:
        random = Random(f"{self._seed}/accounts/{len(self._threads)}")
        thread = Thread(target=run, args=(random,), daemon=True)
        self._threads.append(thread)
        thread.start()

    def _send_until_stopped(self, sender: Sender, entry: FleetProcess, random: Random) -> None:
        caller = entry.with_key(sender.key)
        pause_s = sender.pause_ms / MS_PER_S
        while not self._is_stopped.wait(random.uniform(*PAUSE_SPREAD) * pause_s):
            if sender.account != HOT or self._is_spell():
                self._send(caller, sender.account)

    def _is_spell(self) -> bool:
        return int(self._clock.monotonic_ms() / SPELL_MS) % 2 == 0

    def _send(self, caller: FleetProcess, name: str) -> None:
        number = next(self._request_numbers)
        request_id = f"{ACCOUNT_PREFIX}{name}-{number}"
        is_spoofing = number % SPOOFING_INTERVAL == 0
        request = AccountRequest(name, caller.key, self._clock.monotonic_ms())
        self._requests[request_id] = request
        response = self._clients.call_or_none(
            lambda: request_stream(
                caller,
                request_id,
                SINGLE_ATTEMPT_PREFIX,
                EVENTS,
                CALL_TIMEOUT_S,
                extra_headers={WIRE_NAMES.account: MAIN} if is_spoofing else None,
            )
        )
        request.status = None if response is None else response[0]
        self._checker.count(f"{name.rstrip('0123456789')}_{request.status}")
        if request.status == 401 or request.status in REFUSAL_STATUSES:
            self._checker.refused_request_ids.add(request_id)
        self._check_status(request_id, request)

    def _check_status(self, request_id: str, request: AccountRequest) -> None:
        if request.account == NOBODY:
            is_allowed = request.status in (None, 401, 503)
        else:
            is_removed = request.key == REMOVED_KEY and self._removed_ms is not None
            is_allowed = request.status != 404 and (request.status != 401 or is_removed)
        if not is_allowed:
            self._checker.report_violation(
                f"request {request_id}: status {request.status} with the key {request.key}"
            )

    def _change_accounts(self, random: Random) -> None:
        """Lower the limit of the hot account and remove a key, while faults are injected.

        One entry is cut off from the store before the key is removed.
        """
        self._clock.sleep_ms(random.uniform(*CHANGE_DELAY_MS))
        self._clients.write_config(make_accounts(has_high_limit=False))
        self._clock.sleep_ms(random.uniform(*CHANGE_DELAY_MS))
        proxy = random.choice(self._entry_store_proxies)
        proxy.state = LinkState(drops_client_data=True, drops_server_data=True)
        self._removed_ms = float("inf")  # until the store has acknowledged it
        self._clients.write_config(make_accounts(has_high_limit=False, has_removed_key=False))
        self._removed_ms = self._clock.monotonic_ms()
        self._clock.sleep_ms(CUT_MS)
        proxy.restore()

    def _run_job_client(self, random: Random) -> None:
        """Submit jobs with the key that is to be removed, and read them with other keys."""
        while not self._is_stopped.wait(random.uniform(*JOB_PAUSE_S)):
            entry = random.choice(self._fleet.entries)
            if self._removed_ms is None:
                self._submit(entry)
            elif self._jobs:
                job_id = random.choice(self._jobs)
                self._read(entry, job_id)
                self._read_as_other_account(entry, job_id)

    def _submit(self, entry: FleetProcess) -> None:
        job_id = f"{OWNED_JOB_PREFIX}{ROTATING}-{next(self._request_numbers)}"
        caller = entry.with_key(REMOVED_KEY)
        status = self._clients.call_or_none(
            lambda: submit_job(caller, job_id, JOB_SIZE.items, JOB_SIZE.events, CALL_TIMEOUT_S)
        )
        if status == 202:
            self._jobs.append(job_id)

    def _read(self, entry: FleetProcess, job_id: str) -> bool:
        """Read the results of a job with a key of its account; return whether all are listed."""
        return self._clients.read_results(job_id, entry=entry.with_key(KEPT_KEY))

    def _read_as_other_account(self, entry: FleetProcess, job_id: str) -> None:
        caller = entry.with_key(f"key-{STEADY[0]}")
        response = self._clients.call_or_none(lambda: read_job(caller, job_id, 0, CALL_TIMEOUT_S))
        if response is not None and response[0] not in (404, 503):
            self._checker.report_violation(f"job {job_id}: another account got {response[0]}")
