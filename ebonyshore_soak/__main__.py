"""Runs the soak test with a range of seeds: ``python -m ebonyshore_soak --first 1 --seeds 50``."""

import argparse
import signal
import sys
import tempfile
from functools import partial
from pathlib import Path

from msgspec import Struct

from ebonyshore.frame.clock import MS_PER_S, Clock, SystemClock
from ebonyshore_soak.account_checks import QUOTA_OVERAGE, QUOTA_SLACK, REVOCATION_MS
from ebonyshore_soak.account_clients import AccountClients, make_accounts
from ebonyshore_soak.checker import GuaranteeChecker
from ebonyshore_soak.clients import CRASHING_BODY, CRASHING_PART, STREAM_EVENTS, SoakClients
from ebonyshore_soak.crowd_checks import check_client_crowds
from ebonyshore_soak.endless_checks import check_endless_answers, limit_memory
from ebonyshore_soak.faults import FaultInjector, proxied_target_entry
from ebonyshore_soak.large_results import check_large_results
from ebonyshore_soak.limited_jobs import LimitedJobsClient
from ebonyshore_soak.proxy import FaultProxy
from ebonyshore_soak.rejoin_checks import LISTED_MS, check_rejoined_streams
from ebonyshore_soak.slow_readers import SlowReaders
from ebonyshore_soak.target_checks import (
    check_crashing_part,
    check_errors_to_resumed_streams,
    check_limited_targets,
    check_repeated_refusals,
)
from ebonyshore_soak.variant import COLD_FACTOR, COLD_MS, SoakVariant, draw_variant
from ebonyshore_standins.caller_stream import CallerStream
from ebonyshore_standins.crashing_target import CrashingTarget, CrashMode
from ebonyshore_standins.platform_fleet import PlatformFleet, wait_until

SETTLE_TIMEOUT_MS = 45_000.0
READ_INTERVAL_MS = 200.0
CONFIG_TIMEOUT_S = 10.0
CANCEL_TIMEOUT_MS = 10_000.0  # once faults are over
TARGET_DOWN_MS = 1_000.0  # after a crash
# The platform's rule: at most three sends later than 3 s after the third crash.
CONVICTION_CRASHES = 3
CRASH_SETTLE_MS = 3_000.0
MAX_LATE_CRASHES = 3
CRASHING_SENDS = 3  # to each entry
SOFTWARE_VERSIONS = 2  # of the targets
TAKEN_UP_STREAMS = 12
DRAIN_MS = 2_000.0  # the platform's bound for work at a target that leaves
MAX_REQUESTS_FOR_NEWS = 40
REQUESTS_AFTER_DRAIN = 20
EVENTS_BEFORE_BREAK = 5


class SoakOptions(Struct, frozen=True):
    """Parameters of one run.

    :param fault_duration_s: time in which faults are injected.
    :param address_octet: third octet of the loopback addresses, which has to differ between runs
        at the same time.
    """

    seed: int
    fault_duration_s: float = 12.0
    entries: int = 2
    runners: int = 3
    targets: int = 4
    address_octet: int = 1


class SoakResult(Struct, frozen=True):
    """Result of one run.

    :param variant: options drawn from the seed.
    :param violations: one text for each violated guarantee.
    :param counts: number of outcomes by name.
    :param faults: one text for each injected fault.
    :param folder: folder with the logs of the processes.
    """

    seed: int
    variant: SoakVariant
    violations: list[str]
    counts: dict[str, int]
    faults: list[str]
    folder: str


def run_seed(options: SoakOptions) -> SoakResult:
    """Run the soak test with one seed. The logs of the processes stay in the result's folder."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{options.seed}-"))
    variant = draw_variant(options.seed, options.targets)
    accounts = make_accounts() if variant.has_accounts else None
    fleet = PlatformFleet(
        folder,
        options.entries,
        options.runners,
        options.targets,
        options.address_octet,
        _make_target,
        accounts,
        REVOCATION_MS if variant.has_accounts else None,
    )
    _make_targets_unequal(fleet, variant)
    limit_memory(fleet)
    clock = SystemClock()
    checker = GuaranteeChecker(clock)
    store_proxies = _insert_store_proxies(fleet, variant)
    target_proxies: list[FaultProxy] = []
    try:
        _start_fleet(fleet, target_proxies)
        clients = SoakClients(fleet, checker, options.seed, clock, accounts)
        faults = FaultInjector(fleet, store_proxies, target_proxies, options.seed, clock)
        limited_jobs = LimitedJobsClient(fleet, clients, checker, options.seed, clock)
        entry_store_proxies = store_proxies[: len(fleet.entries)]
        account_clients = AccountClients(
            fleet, clients, checker, entry_store_proxies, options.seed, clock
        )
        slow_readers = SlowReaders(fleet, clients, checker, options.seed, clock)
        clients.start()
        limited_jobs.start()
        if variant.has_accounts:
            account_clients.start()
        if variant.has_slow_readers:
            slow_readers.start()
        faults.start()
        clock.sleep_ms(options.fault_duration_s * MS_PER_S)
        faults.stop()
        limited_jobs.stop()
        account_clients.stop()
        clients.stop()
        _settle(fleet, clients, checker, clock)
        settled_ms = clock.monotonic_ms()
        if variant.has_accounts:
            account_clients.run_calm_load(settled_ms)
        slow_readers.stop()
        limited_jobs.check_room()
        _settle(fleet, clients, checker, clock)
        account_clients.check_jobs()
        _check_single_faults(fleet, target_proxies, clients, checker, clock)
        check_client_crowds(fleet, clients, checker, options.seed)
        runs = [run for target in fleet.targets for run in target.runs]
        checker.check_runs(runs)
        limited_jobs.check_limit(runs)
        if variant.has_accounts:
            account_clients.check_runs(runs)
        checker.counts["jobs_restored"] = sum(
            runner.read_log().count("event=items_restored") for runner in fleet.runners
        )
    finally:
        fleet.stop()
        for proxy in [*store_proxies, *target_proxies]:
            proxy.stop()
    return SoakResult(
        options.seed, variant, checker.violations, checker.counts, faults.log, str(folder)
    )


def _check_single_faults(
    fleet: PlatformFleet,
    target_proxies: list[FaultProxy],
    clients: SoakClients,
    checker: GuaranteeChecker,
    clock: Clock,
) -> None:
    """Check how the settled fleet deals with one kind of fault after the other."""
    _check_streams_go_on(fleet, clients, checker)
    check_large_results(fleet, clients, checker, clock)
    _check_leaving_target(fleet, target_proxies[0], clients, checker, clock)
    _check_crashing_content(fleet, clients, checker, clock)
    check_crashing_part(fleet, clients, checker, clock)
    check_limited_targets(fleet, clients, checker, clock)
    check_rejoined_streams(fleet, clients, checker, clock)
    check_repeated_refusals(fleet, clients, checker)
    check_errors_to_resumed_streams(fleet, clients, checker)
    _restart_targets(fleet, target_proxies, clock)
    check_endless_answers(fleet, clients, checker, clock)


def _restart_targets(fleet: PlatformFleet, proxies: list[FaultProxy], clock: Clock) -> None:
    """Let all targets start again and be listed, also those that earlier checks have removed."""
    for number, proxy in enumerate(proxies):
        fleet.targets[number].restart()
        _list_restart(fleet, number, proxy)
    clock.sleep_ms(LISTED_MS)


def _start_fleet(fleet: PlatformFleet, target_proxies: list[FaultProxy]) -> None:
    """Start all processes and targets, with a proxy before each target.

    :param target_proxies: gets the proxies as they are started, so that the caller can stop them
        even if this fails.
    """
    for target in fleet.targets:
        target.start()
        target_proxies.append(FaultProxy(target.address))
    fleet.start(
        {
            target.target_id: proxied_target_entry(fleet, number, target_proxies[number].address)
            for number, target in enumerate(fleet.targets)
        }
    )
    for number, proxy in enumerate(target_proxies):
        fleet.targets[number].on_restart = partial(_list_restart, fleet, number, proxy)


def _make_target(target_id: str) -> CrashingTarget:
    # A proxy accepts connections also while its target refuses them, so crashed targets are silent.
    target = CrashingTarget(target_id, CrashMode.SILENT, TARGET_DOWN_MS)
    target.crashing_bodies = {CRASHING_BODY}
    target.crashing_parts = {CRASHING_PART}
    target.software_version = f"v{int(target_id[1:]) % SOFTWARE_VERSIONS}"
    return target


def _make_targets_unequal(fleet: PlatformFleet, variant: SoakVariant) -> None:
    """Give the targets different speeds, and let them be slow for a while after a crash."""
    # Without different speeds there are no factors, and the targets stay as they are.
    for target, factor in zip(fleet.targets, variant.speed_factors, strict=False):
        target.event_interval_ms *= factor
        target.cold_ms, target.cold_factor = COLD_MS, COLD_FACTOR


def _insert_store_proxies(fleet: PlatformFleet, variant: SoakVariant) -> list[FaultProxy]:
    """Put proxies between the processes and the store: with accounts, one for each process."""
    if not variant.has_accounts:
        proxy = FaultProxy(fleet.platform.address)
        fleet.set_store_address(proxy.address)
        return [proxy]
    proxies = [FaultProxy(fleet.platform.address) for _ in fleet.processes]
    for process, proxy in zip(fleet.processes, proxies, strict=True):
        process.quota_overage, process.quota_slack = QUOTA_OVERAGE, QUOTA_SLACK
        process.write_settings(proxy.address)
    return proxies


def _list_restart(fleet: PlatformFleet, number: int, proxy: FaultProxy) -> None:
    entry = proxied_target_entry(fleet, number, proxy.address)
    fleet.platform.state.put("servers", fleet.targets[number].target_id, entry)


def _check_streams_go_on(
    fleet: PlatformFleet, clients: SoakClients, checker: GuaranteeChecker
) -> None:
    """Check that callers can take their streams up at another entry, once faults are over."""
    for number in range(TAKEN_UP_STREAMS):
        stream = CallerStream(f"stream-taken-{number}", STREAM_EVENTS)
        first, second = fleet.entries[number % 2], fleet.entries[(number + 1) % 2]
        clients.call_or_none(partial(stream.read, first, EVENTS_BEFORE_BREAK))
        if stream.data:
            clients.call_or_none(partial(stream.read, second))
            checker.count("taken_up" if stream.is_complete else "not_taken_up")
    if checker.counts.get("not_taken_up", 0) > checker.counts.get("taken_up", 0):
        checker.report_violation("most streams do not go on at another entry")


def _check_leaving_target(
    fleet: PlatformFleet,
    proxy: FaultProxy,
    clients: SoakClients,
    checker: GuaranteeChecker,
    clock: Clock,
) -> None:
    """Check, once faults are over, that a target which only says so in an answer gets no work."""
    target = fleet.targets[0]
    known_runs = len(target.runs)
    target.says_it_leaves = True
    for number in range(MAX_REQUESTS_FOR_NEWS):
        clients.send_stream(f"stream-news-{number}")
        if len(target.runs) > known_runs:
            break
    clock.sleep_ms(DRAIN_MS)
    drained_ms = clock.monotonic_ms()
    for number in range(REQUESTS_AFTER_DRAIN):
        clients.send_stream(f"stream-drained-{number}")
    late_runs = sum(run.started_ms > drained_ms for run in target.runs)
    checker.counts["runs_after_drain"] = late_runs
    if late_runs:
        checker.report_violation(f"{late_runs} runs at a target that had said that it leaves")
    target.restart()
    _list_restart(fleet, 0, proxy)


def _check_crashing_content(
    fleet: PlatformFleet, clients: SoakClients, checker: GuaranteeChecker, clock: Clock
) -> None:
    """Check that content which has crashed three targets is hardly sent on, once faults are over.

    Processes may have lost what they knew, so up to three further crashes are allowed.
    """
    known_crashes = _count_crashes(fleet)
    checker.counts["crashes"] = known_crashes
    if known_crashes < CONVICTION_CRASHES:
        return
    clock.sleep_ms(CRASH_SETTLE_MS)
    for _ in range(CRASHING_SENDS):
        for entry in fleet.entries:
            clients.send_crashing_request(entry)
    late_crashes = _count_crashes(fleet) - known_crashes
    checker.counts["late_crashes"] = late_crashes
    if late_crashes > MAX_LATE_CRASHES:
        checker.report_violation(f"{late_crashes} crashes by content that had crashed targets")


def _count_crashes(fleet: PlatformFleet) -> int:
    """Return the number of crashes by the whole content of a request."""
    return sum(not crash.part for target in fleet.targets for crash in target.crashes)


def _settle(
    fleet: PlatformFleet, clients: SoakClients, checker: GuaranteeChecker, clock: Clock
) -> None:
    """Let all work end without faults, and read the results of the accepted jobs.

    Jobs that were not cancelled are read for up to ``SETTLE_TIMEOUT_MS`` in all. An entry that is
    not ready in time or does not serve the newest configuration is reported as a violation.
    """
    version = clients.config_version
    try:
        wait_until(lambda: all(entry.is_ready() for entry in fleet.entries))
        wait_until(
            lambda: all(clients.has_config(e, version) for e in fleet.entries), CONFIG_TIMEOUT_S
        )
    except TimeoutError as error:
        checker.report_violation(
            f"the newest configuration is not in force at every entry: {error!r}"
        )
    clients.cancel_unsure_jobs(CANCEL_TIMEOUT_MS)
    open_jobs = checker.accepted_jobs.keys() - checker.cancelled_jobs
    end_ms = clock.monotonic_ms() + SETTLE_TIMEOUT_MS
    while open_jobs and clock.monotonic_ms() < end_ms:
        open_jobs = {job_id for job_id in open_jobs if not clients.read_results(job_id)}
        clock.sleep_ms(READ_INTERVAL_MS)
    for job_id in checker.cancelled_jobs:
        clients.read_results(job_id)


def main() -> int:
    """Run the seeds given by the arguments; return 1 if a guarantee was violated, 0 otherwise."""
    # On SIGTERM, raise SystemExit, so that the processes started by the test are stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    parser = argparse.ArgumentParser(prog="python -m ebonyshore_soak")
    parser.add_argument("--first", type=int, default=1, help="first seed to run")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--length", type=float, default=12.0, help="seconds in which each run injects faults"
    )
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--runners", type=int, default=3)
    parser.add_argument("--targets", type=int, default=4)
    parser.add_argument(
        "--address", type=int, default=1, help="third octet of the loopback addresses"
    )
    options = parser.parse_args()
    failed: list[int] = []
    for seed in range(options.first, options.first + options.seeds):
        result = run_seed(
            SoakOptions(
                seed,
                options.length,
                options.entries,
                options.runners,
                options.targets,
                options.address,
            )
        )
        print(f"seed {seed}: {result.variant}")
        print(
            f"seed {seed}: {len(result.violations)} violations, {len(result.faults)} faults,",
            end=" ",
        )
        print(" ".join(f"{name}={count}" for name, count in sorted(result.counts.items())))
        if result.violations:
            failed.append(seed)
            print(f"  logs: {result.folder}")
            print("\n".join(f"  {line}" for line in result.violations))
    print(f"{options.seeds} seeds, {len(failed)} failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
