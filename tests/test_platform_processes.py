"""End-to-end tests on the platform with real processes that are killed and stopped under load."""

import signal
import threading
import time
from http.client import HTTPException

import pytest

from ebonyshore.frame.result_codes import ResultCode
from ebonyshore_standins.fleet_client import (
    cancel_job,
    read_item_body,
    read_job,
    request_stream,
    stream_data,
    submit_job,
)
from ebonyshore_standins.fleet_config import SERVICE, SINGLE_ATTEMPT_PREFIX, make_config, route
from ebonyshore_standins.platform_fleet import PlatformFleet, running, wait_until
from ebonyshore_standins.stream_target import expected_data


@pytest.fixture
def fleet(tmp_path):
    platform_fleet = PlatformFleet(tmp_path)
    with running(platform_fleet):
        yield platform_fleet


def wait_for_all_results(fleet, job_id, timeout_s=20.0):
    """Poll the entries until one lists the results of all items, and return these results.

    An entry that lists only a part of them, returns an error or does not respond is polled again.
    """
    results = []

    def has_all_results():
        for entry in fleet.entries:
            page = None
            try:
                _, page = read_job(entry, job_id)
            except OSError:
                continue
            if page and len(page["Results"]) == page["Total"]:
                results[:] = page["Results"]
                return True
        return False

    wait_until(has_all_results, timeout_s)
    return results


def test_online_requests_and_the_life_cycle_of_a_job(fleet):
    first, second = fleet.entries
    status, headers, body = request_stream(first, "q1")
    assert status == 200 and stream_data(body) == expected_data("q1", 6)
    assert headers["Server-Signature"] in {"t1", "t2", "t3"}
    assert request_stream(second, "q2", "/nowhere/")[0] == 404

    assert submit_job(first, "j1") == 202
    assert submit_job(second, "j1") == 202
    results = wait_for_all_results(fleet, "j1")
    assert sorted(result["Id"] for result in results) == [f"j1-{n}" for n in range(6)]
    for result in results:
        assert result["State"] == "complete"
        assert result["Data"] == expected_data(result["Id"], 6)
    for entry in fleet.entries:
        assert read_job(entry, "j1")[1]["Results"] == results
        assert read_job(entry, "j1", 4)[1]["Results"] == results[4:]
    assert read_item_body(second, "j1", "j1-3")[1] == b"body 3"
    assert read_job(second, "unknown")[0] == 404
    assert cancel_job(first, "j1") == 200
    assert cancel_job(first, "j1") == 200
    assert read_job(second, "j1")[1]["Results"] == results


def test_accepted_job_survives_a_kill_of_all_processes(fleet):
    """Guards against a power loss after which items are never run or listed results are lost."""
    assert submit_job(fleet.entries[0], "j1", items=30, events=40) == 202
    wait_until(lambda: read_job(fleet.entries[0], "j1")[1].get("Next", 0) > 0)
    before = read_job(fleet.entries[0], "j1")[1]["Results"]
    for process in fleet.processes:
        process.kill()
    for process in fleet.processes:
        process.start()
    results = wait_for_all_results(fleet, "j1")
    assert results[: len(before)] == before
    assert all(result["Data"] == expected_data(result["Id"], 40) for result in results)


def test_jobs_of_a_killed_runner_are_finished_by_another(fleet):
    for number in range(6):
        assert submit_job(fleet.entries[0], f"j{number}", items=8, events=60) == 202
    fleet.runners[0].kill()
    for number in range(6):
        results = wait_for_all_results(fleet, f"j{number}")
        assert len(results) == 8
        assert all(result["Data"] == expected_data(result["Id"], 60) for result in results)


def test_retired_runner_hands_over_its_jobs_and_reports_completion(fleet):
    """Guards against a retirement that never completes, and jobs that stay at the instance."""
    for number in range(4):
        assert submit_job(fleet.entries[number % 2], f"j{number}", items=8, events=60) == 202
    state = fleet.platform.state
    state.put("retirements", "runner-0", {"DurationS": 5})

    def is_complete():
        status = state.objects["retirements", "runner-0"]["Status"]
        return status is not None and status["State"] == "complete"

    wait_until(is_complete, 5.0)
    fleet.runners[0].kill()
    for number in range(4):
        results = wait_for_all_results(fleet, f"j{number}")
        assert len(results) == 8
        assert all(result["State"] == "complete" for result in results)


def test_cancelled_job_runs_no_further_items(fleet):
    assert submit_job(fleet.entries[0], "j1", items=150, events=60) == 202
    time.sleep(0.3)
    assert cancel_job(fleet.entries[1], "j1") == 200
    time.sleep(0.5)
    runs = sum(len(target.runs) for target in fleet.targets)
    time.sleep(0.7)
    assert sum(len(target.runs) for target in fleet.targets) == runs
    assert read_item_body(fleet.entries[0], "j1", "j1-149")[0] == 404


def test_failed_and_rejected_items_are_dead_lettered_and_the_others_complete(fleet):
    for target in fleet.targets:
        target.failing_ids.add("j1-0")
        target.rejected_ids.add("j1-1")
    assert submit_job(fleet.entries[0], "j1", items=4) == 202
    results = {result["Id"]: result["State"] for result in wait_for_all_results(fleet, "j1")}
    assert results == {
        "j1-0": "dead_lettered",
        "j1-1": "dead_lettered",
        "j1-2": "complete",
        "j1-3": "complete",
    }
    assert sum(run.request_id == "j1-0" for t in fleet.targets for run in t.runs) == 3


def test_planned_stop_completes_requests_and_fails_the_health_check(fleet):
    """Guards against requests that are lost during a planned stop."""
    entry = fleet.entries[0]
    responses = []

    def request_long_stream():
        responses.append(request_stream(entry, f"long-{len(responses)}", events=200))

    request_thread = threading.Thread(target=request_long_stream)
    request_thread.start()
    wait_until(lambda: any(target.runs for target in fleet.targets))
    entry.signal(signal.SIGTERM)
    wait_until(lambda: not entry.is_ready(), 1.0)
    status, headers, body = request_stream(entry, "late")
    assert status == 200 and headers["Connection"] == "close"
    request_thread.join(10)
    assert stream_data(responses[0][2]) == expected_data("long-0", 200)
    assert entry.stop() == 0


def test_configuration_takes_effect_at_every_entry_and_never_reverts(fleet):
    state = fleet.platform.state
    assert request_stream(fleet.entries[0], "q0", "/new/")[0] == 404
    state.put("config", "main", make_config(7, route("new", "/new/", "streaming")))
    wait_until(lambda: all(request_stream(e, "q1", "/new/")[0] == 200 for e in fleet.entries), 2.0)
    state.put("config", "main", make_config(5))
    time.sleep(0.3)
    assert all(request_stream(entry, "q2", "/new/")[0] == 200 for entry in fleet.entries)


def test_results_of_a_job_stay_readable_after_its_route_is_removed(fleet):
    """Guards against a configuration change that makes an accepted job inaccessible."""
    assert submit_job(fleet.entries[0], "j1") == 202
    results = wait_for_all_results(fleet, "j1")
    config_without_routes = {**make_config(9), "Routes": []}
    fleet.platform.state.put("config", "main", config_without_routes)
    wait_until(lambda: all(request_stream(e, "q1")[0] == 404 for e in fleet.entries), 2.0)
    for entry in fleet.entries:
        assert read_job(entry, "j1") == (200, {"Total": 6, "Next": 6, "Results": results})
    assert cancel_job(fleet.entries[0], "j1") == 200


def test_online_requests_are_served_while_the_store_is_down(fleet):
    fleet.platform.fault_hook = lambda _method, _path: 503
    time.sleep(0.2)
    assert request_stream(fleet.entries[0], "q1")[0] == 200
    assert submit_job(fleet.entries[0], "j1") == 503
    fleet.platform.fault_hook = lambda _method, _path: None
    assert submit_job(fleet.entries[0], "j1") == 202
    assert len(wait_for_all_results(fleet, "j1")) == 6


def test_draining_target_receives_no_new_request(fleet):
    draining = fleet.targets[0]
    fleet.platform.state.put("servers", "t1", draining.target_entry(SERVICE, "draining"))
    time.sleep(0.3)
    run_count = len(draining.runs)
    for number in range(12):
        assert request_stream(fleet.entries[number % 2], f"q{number}")[0] == 200
    assert len(draining.runs) == run_count


def test_non_repeatable_request_runs_once_when_its_entry_is_killed(fleet):
    entry = fleet.entries[0]

    def request_and_lose_connection():
        with pytest.raises((OSError, HTTPException)):
            request_stream(entry, "once-1", SINGLE_ATTEMPT_PREFIX, events=100)

    request_thread = threading.Thread(target=request_and_lose_connection)
    request_thread.start()
    wait_until(lambda: any(target.runs for target in fleet.targets))
    entry.kill()
    request_thread.join(10)
    assert sum(run.request_id == "once-1" for t in fleet.targets for run in t.runs) == 1


def test_log_lines_describe_requests_and_process_starts(fleet):
    request_stream(fleet.entries[0], "q1")
    wait_until(lambda: "request=q1" in fleet.entries[0].read_log(), 2.0)
    line = next(line for line in fleet.entries[0].read_log().split("\n") if "request=q1" in line)
    assert "event=request_ended" in line and "outcome=answered" in line and "targets=t" in line
    for process in fleet.processes:
        assert "event=process_started" in process.read_log()


def test_missing_settings_file_ends_the_process_with_an_error(fleet, tmp_path):
    entry = fleet.entries[0]
    entry.stop()
    (tmp_path / f"{entry.name}.toml").unlink()
    entry.start()
    assert entry.wait() == int(ResultCode.INVALID_SETTINGS)
    assert entry.read_log().count("No such file") == 1
