"""A short seeded soak of real processes, and the checks that the soak relies on."""

from concurrent.futures import ThreadPoolExecutor
from random import Random
from types import SimpleNamespace

import pytest

from ebonyshore.frame.clock import ManualClock, SystemClock
from ebonyshore_soak.__main__ import SoakOptions, run_seed
from ebonyshore_soak.checker import CANCEL_BOUND_MS, GuaranteeChecker, JobSize
from ebonyshore_soak.faults import FaultInjector
from ebonyshore_standins.stream_target import RunRecord, expected_data

# Seeds of runs that once broke a promise stay here, each with its cause.
CI_SEEDS = (1,)


@pytest.mark.parametrize("seed", CI_SEEDS)
def test_a_short_soak_breaks_no_promise(seed):
    result = run_seed(SoakOptions(seed, fault_duration_s=5.0, address_octet=40 + seed))
    assert result.violations == [], f"logs in {result.folder}"
    assert result.counts["streams_whole"] > 0 and result.counts["jobs_accepted"] > 0
    assert result.faults


def page(*results, total=2):
    return {
        "Total": total,
        "Results": [{"Id": i, "State": s, "Data": d} for i, s, d in results],
    }


def done(item_id, events=3):
    return (item_id, "complete", expected_data(item_id, events))


def broken_by(*runs, prepare):
    checker = GuaranteeChecker(ManualClock())
    prepare(checker)
    checker.check_runs([RunRecord(request_id, 1, 3, True) for request_id in runs])
    return checker.violations


def listed(*results, accepted=2):
    def prepare(checker):
        checker.accepted_jobs["j"] = JobSize(accepted, events=3)
        checker.check_page("j", 0, page(*results))

    return prepare


def test_a_whole_job_and_a_single_run_break_nothing():
    prepare = listed(done("j-0"), done("j-1"))
    assert broken_by("once-1", "j-0", "j-1", prepare=prepare) == []


@pytest.mark.parametrize(
    "results",
    [
        (done("j-0"),),
        (done("j-0"), done("j-0")),
        (done("j-0"), ("j-1", "complete", "j-1.1")),
        (done("j-0"), ("j-1", "dead_lettered", "")),
    ],
)
def test_a_job_that_is_not_right_is_found(results):
    assert len(broken_by(prepare=listed(*results))) == 1


def test_a_changed_position_is_found():
    checker = GuaranteeChecker(ManualClock())
    checker.check_page("j", 0, page(done("j-0"), done("j-1")))
    checker.check_page("j", 1, page(done("j-1")))
    assert checker.violations == []
    checker.check_page("j", 0, page(done("j-1")))
    assert len(checker.violations) == 1


def test_a_second_run_and_a_false_refusal_are_found():
    def refuse(checker):
        checker.refused_request_ids.add("once-2")
        checker.refused_jobs["j9"] = JobSize(items=2, events=3)

    assert len(broken_by("once-1", "once-1", prepare=refuse)) == 1
    assert len(broken_by("once-2", prepare=refuse)) == 1
    assert len(broken_by("j9-1", prepare=refuse)) == 1


def test_an_item_that_starts_long_after_its_jobs_end_is_found():
    checker = GuaranteeChecker(ManualClock())
    checker.cancel_acknowledged_ms["j"] = 1_000.0
    checker.check_runs([RunRecord("j-1", 1, 0, started_ms=1_000.0 + CANCEL_BOUND_MS)])
    assert checker.violations == []
    checker.check_runs([RunRecord("j-1", 1, 0, started_ms=1_001.0 + CANCEL_BOUND_MS)])
    assert len(checker.violations) == 1


def test_a_configuration_that_goes_back_is_found():
    checker = GuaranteeChecker(ManualClock())
    for entry, pid, version in (("e1", 7, 3), ("e1", 7, 5), ("e2", 8, 3), ("e1", 9, 3)):
        checker.check_config(entry, pid, version)
    assert checker.violations == []
    checker.check_config("e1", 7, 3)
    assert len(checker.violations) == 1


def test_an_answer_that_is_not_whole_is_found():
    checker = GuaranteeChecker(ManualClock())
    checker.check_stream("q", 3, expected_data("q", 3))
    assert checker.violations == []
    checker.check_stream("q", 3, expected_data("q", 2))
    assert len(checker.violations) == 1


def test_two_series_never_work_on_one_process():
    """Guards against starting a process twice, of which one would run on after the soak."""
    process, clock = SimpleNamespace(name="runner-0"), SystemClock()
    faults = FaultInjector(SimpleNamespace(processes=[process]), [], [], seed=1, clock=clock)

    def choose_slowly(free):
        clock.sleep_ms(20.0)
        return free

    with ThreadPoolExecutor(4) as series:
        reserved = list(series.map(lambda _: faults._reserve([process], choose_slowly), range(4)))
    assert sum(len(found) for found in reserved) == 1
    struck = []
    faults._inject_into_process(lambda found, _random: struck.append(found), Random(1))
    assert struck == []
    faults._release([process])
    faults._inject_into_process(lambda found, _random: struck.append(found), Random(1))
    faults._inject_into_process(lambda found, _random: struck.append(found), Random(1))
    assert struck == [process, process]
