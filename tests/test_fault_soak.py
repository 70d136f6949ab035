"""Tests of the fault soak: a short run with real processes, and its checker and fault injector."""

import asyncio
import itertools
import socket
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from random import Random
from types import SimpleNamespace

import pytest

from ebonyshore.frame.clock import ManualClock, SystemClock
from ebonyshore_soak.__main__ import SoakOptions, run_seed
from ebonyshore_soak.account_checks import (
    HIGH_LIMIT,
    LOW_LIMIT,
    QUOTA_WINDOW_MS,
    REVOCATION_MS,
    AccountRequest,
    check_headers,
    check_quota,
    check_removed_key,
    check_steady_requests,
)
from ebonyshore_soak.checker import CANCEL_BOUND_MS, GuaranteeChecker, JobSize
from ebonyshore_soak.faults import FaultInjector
from ebonyshore_soak.limited_jobs import first_completions
from ebonyshore_soak.proxy import FaultProxy, LinkState
from ebonyshore_soak.variant import FIRST_SEED_WITH_OPTIONS, SoakVariant, draw_variant
from ebonyshore_standins.fleet_config import MAX_ATTEMPTS
from ebonyshore_standins.stream_target import RunRecord, StreamTarget, expected_data

# A seed whose run violated a guarantee is added here, with the cause, and is kept.
# 903: room for a job was missing for 8 s, as a call had ended between reservation and storing.
# 905: two runs of one item at a time, so events stood twice in its result.
# 1244: the reservation of a job that was offered to two runners was given back.
CI_SEEDS = (1, 903, 905, 1244)


@pytest.mark.parametrize("seed", CI_SEEDS)
def test_short_soak_violates_no_guarantee(seed):
    result = run_seed(SoakOptions(seed, fault_duration_s=5.0, address_octet=40 + seed % 200))
    assert result.violations == [], f"logs in {result.folder}"
    assert result.counts["streams_whole"] > 0 and result.counts["jobs_accepted"] > 0
    assert result.faults


def results_page(*results, total=2):
    return {
        "Total": total,
        "Results": [{"Id": i, "State": s, "Data": d} for i, s, d in results],
    }


def completed_result(item_id, events=3):
    return (item_id, "complete", expected_data(item_id, events))


def violations_of(*runs, prepare):
    checker = GuaranteeChecker(ManualClock())
    prepare(checker)
    checker.check_runs([RunRecord(request_id, 1, 3, True) for request_id in runs])
    return checker.violations


def prepare_listed_job(*results, accepted=2):
    def prepare(checker):
        checker.accepted_jobs["j"] = JobSize(accepted, events=3)
        checker.check_page("j", 0, results_page(*results))

    return prepare


def test_complete_job_and_single_runs_violate_nothing():
    prepare = prepare_listed_job(completed_result("j-0"), completed_result("j-1"))
    assert violations_of("once-1", "j-0", "j-1", prepare=prepare) == []


@pytest.mark.parametrize(
    "results",
    [
        (completed_result("j-0"),),
        (completed_result("j-0"), completed_result("j-0")),
        (completed_result("j-0"), ("j-1", "complete", "j-1.1")),
        (completed_result("j-0"), ("j-1", "dead_lettered", "")),
    ],
)
def test_missing_duplicate_or_wrong_result_is_found(results):
    assert len(violations_of(prepare=prepare_listed_job(*results))) == 1


def test_changed_result_at_a_position_is_found():
    checker = GuaranteeChecker(ManualClock())
    checker.check_page("j", 0, results_page(completed_result("j-0"), completed_result("j-1")))
    checker.check_page("j", 1, results_page(completed_result("j-1")))
    assert checker.violations == []
    checker.check_page("j", 0, results_page(completed_result("j-1")))
    assert len(checker.violations) == 1


def test_second_run_and_run_after_a_refusal_are_found():
    def refuse(checker):
        checker.refused_request_ids.add("once-2")
        checker.refused_jobs["j9"] = JobSize(items=2, events=3)

    assert len(violations_of("once-1", "once-1", prepare=refuse)) == 1
    assert len(violations_of("once-2", prepare=refuse)) == 1
    assert len(violations_of("j9-1", prepare=refuse)) == 1


def test_too_many_runs_and_too_much_time_for_a_target_are_found():
    def run(at_ms, remaining_ms, request_id="stream-1"):
        return RunRecord(request_id, 1, 3, received_ms=at_ms, remaining_ms=remaining_ms)

    def violations(*runs):
        checker = GuaranteeChecker(ManualClock())
        checker.check_runs(runs)
        return len(checker.violations)

    assert violations(run(0.0, 5_000.0), run(900.0, 4_100.0), run(1_800.0, 3_700.0)) == 0
    assert violations(run(0.0, 5_000.0), run(900.0, 4_700.0)) == 1
    assert violations(run(900.0, 4_700.0), run(0.0, 5_000.0)) == 1
    assert violations(run(0.0, float("inf"))) == 1
    assert violations(*(run(0.0, 5_000.0) for _ in range(MAX_ATTEMPTS + 1))) == 1
    assert violations(*(run(0.0, 5_000.0, "j-1") for _ in range(MAX_ATTEMPTS + 1))) == 0


def test_item_that_starts_too_long_after_its_job_was_cancelled_is_found():
    checker = GuaranteeChecker(ManualClock())
    checker.cancel_acknowledged_ms["j"] = 1_000.0
    checker.check_runs([RunRecord("j-1", 1, 0, started_ms=1_000.0 + CANCEL_BOUND_MS)])
    assert checker.violations == []
    checker.check_runs([RunRecord("j-1", 1, 0, started_ms=1_001.0 + CANCEL_BOUND_MS)])
    assert len(checker.violations) == 1


def test_reverted_configuration_is_found():
    checker = GuaranteeChecker(ManualClock())
    for entry, pid, version in (("e1", 7, 3), ("e1", 7, 5), ("e2", 8, 3), ("e1", 9, 3)):
        checker.check_config(entry, pid, version)
    assert checker.violations == []
    checker.check_config("e1", 7, 3)
    assert len(checker.violations) == 1


def test_incomplete_stream_is_found():
    checker = GuaranteeChecker(ManualClock())
    checker.check_stream("q", 3, expected_data("q", 3))
    assert checker.violations == []
    checker.check_stream("q", 3, expected_data("q", 2))
    assert len(checker.violations) == 1


def test_an_item_that_runs_again_counts_as_ended_since_its_first_complete_run():
    runs = [
        RunRecord("j-0", 1, 1, False, 0.0, 0.0),
        RunRecord("j-0", 1, 3, True, 0.0, 50.0),
        RunRecord("j-0", 1, 3, True, 0.0, 900.0),
    ]
    assert first_completions(runs) == {"j-0": 50.0}


def test_earlier_seeds_have_no_options_and_later_ones_have_all_kinds():
    assert {draw_variant(seed, 4) for seed in range(FIRST_SEED_WITH_OPTIONS)} == {SoakVariant()}
    later = [draw_variant(FIRST_SEED_WITH_OPTIONS + number, 4) for number in range(20)]
    assert {variant.has_accounts for variant in later} == {True, False}
    assert {variant.has_slow_readers for variant in later} == {True, False}
    assert {len(variant.speed_factors) for variant in later} == {0, 4}


def run_of(request_id, *headers, received_ms=0.0):
    return RunRecord(request_id, 1, 2, received_ms=received_ms, headers=headers)


def test_wrong_account_and_key_in_the_headers_of_a_run_are_found():
    def violations(request_id, *headers):
        checker = GuaranteeChecker(ManualClock())
        check_headers([run_of(request_id, *headers)], checker)
        return len(checker.violations)

    own, main = ("tenant", "hot"), ("tenant", "main")
    assert violations("account-hot-1", own) == violations("once-1", main) == 0
    assert violations("owned-hot-1-0", own) == 0
    assert violations("account-hot-1", main) == violations("account-hot-1") == 1
    assert violations("account-hot-1", own, own) == 1
    assert violations("account-hot-1", own, ("authorization", "Bearer x")) == 1
    assert violations("account-hot-1", own, ("x", "key-hot")) == 1


def test_run_with_a_key_that_was_removed_too_long_before_is_found():
    def violations(account, key, sent_ms):
        checker = GuaranteeChecker(ManualClock())
        requests = {"account-a-1": AccountRequest(account, key, sent_ms)}
        check_removed_key([run_of("account-a-1")], requests, "old", 1_000.0, checker)
        return len(checker.violations)

    end_ms = 1_000.0 + REVOCATION_MS
    assert violations("a", "old", end_ms) == violations("a", "new", end_ms + 1.0) == 0
    assert violations("a", "old", end_ms + 1.0) == violations("nobody", None, 0.0) == 1


def test_more_requests_in_a_window_than_a_limit_allows_are_found():
    def violations(limit, requests, interval_ms, delay_ms=0.0, since_ms=0.0):
        checker = GuaranteeChecker(ManualClock())
        sent = {f"account-hot-{n}": n * interval_ms for n in range(requests)}
        runs = [run_of(name, received_ms=sent_ms + delay_ms) for name, sent_ms in sent.items()]
        known = {name: AccountRequest("hot", "key", sent_ms) for name, sent_ms in sent.items()}
        check_quota(runs, known, limit, since_ms, checker)
        return len(checker.violations)

    most = int(LOW_LIMIT.max_requests)
    assert violations(LOW_LIMIT, most, 1.0) == violations(HIGH_LIMIT, most + 1, 1.0) == 0
    assert violations(LOW_LIMIT, most + 1, 1.0) == 1
    # Over the limit only before it held, and only in a longer time than a window.
    assert violations(LOW_LIMIT, most + 1, 1.0, since_ms=1.0) == 0
    assert violations(LOW_LIMIT, 10 * most, QUOTA_WINDOW_MS / (most - 1)) == 0
    assert violations(LOW_LIMIT, most + 1, 1.0, delay_ms=QUOTA_WINDOW_MS) == 0


def test_refused_or_failed_requests_within_a_limit_are_found():
    def violations(*statuses):
        checker = GuaranteeChecker(ManualClock())
        statuses += (200,) * (1_000 - len(statuses))
        check_steady_requests([AccountRequest("steady0", "k", 0.0, s) for s in statuses], checker)
        return len(checker.violations)

    assert violations() == violations(429) == violations(*[503] * 10) == 0
    assert violations(429, 429) == violations(*[None] * 11) == 1


def test_two_threads_never_inject_faults_into_one_process():
    """Guards against two threads that both restart a process, which then runs twice: the fleet
    stops only one of the two at the end of the soak."""
    process, clock = SimpleNamespace(name="runner-0"), SystemClock()
    injector = FaultInjector(SimpleNamespace(processes=[process]), [], [], seed=1, clock=clock)

    def choose_slowly(free):
        clock.sleep_ms(20.0)
        return free

    with ThreadPoolExecutor(4) as executor:
        reserved = list(
            executor.map(lambda _: injector._reserve([process], choose_slowly), range(4))
        )
    assert sum(len(chosen) for chosen in reserved) == 1
    injected = []
    injector._inject_into_process(lambda target, _random: injected.append(target), Random(1))
    assert injected == []
    injector._release([process])
    injector._inject_into_process(lambda target, _random: injected.append(target), Random(1))
    injector._inject_into_process(lambda target, _random: injected.append(target), Random(1))
    assert injected == [process, process]


MAX_READS = 20


class CountingServer(StreamTarget):
    """Sends a number every few milliseconds on each connection."""

    async def _serve(self, reader, writer):
        with suppress(OSError):
            for number in itertools.count():
                writer.write(b"%d\n" % number)
                await writer.drain()
                await asyncio.sleep(0.005)


def test_connection_that_has_lost_bytes_delivers_no_later_ones():
    """Guards against streams with a gap or a missing end, which no TCP connection can deliver; seed
    3235 reported an item as incomplete."""
    server = CountingServer("t1")
    server.start()
    proxy = FaultProxy(server.address)
    host, _, port = proxy.address.rpartition(":")
    received = b""
    try:
        with socket.create_connection((host, int(port)), timeout=0.3) as connection:
            received += connection.recv(100)
            proxy.state = LinkState(drops_server_data=True)
            SystemClock().sleep_ms(100.0)
            proxy.state = LinkState()
            with suppress(TimeoutError):
                for _ in range(MAX_READS):
                    received += connection.recv(100)
    finally:
        proxy.stop()
        server.stop()
    numbers = [int(line) for line in received.split()]
    assert numbers == list(range(len(numbers)))
