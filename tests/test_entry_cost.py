"""The measurement of what an entry spends on a request."""

import cProfile

from ebonyshore_bench.entry_cost import (
    LOGGING_LAUNCHER,
    SILENT_LAUNCHER,
    EntryCost,
    hottest_functions,
    markdown,
    measure_entry_cost,
)

REQUESTS = 40


def test_a_run_without_log_writes_no_line_and_serves_as_much(tmp_path):
    """Guards against comparing runs that did not do the same."""
    (tmp_path / "plain").mkdir()
    (tmp_path / "quiet").mkdir()
    plain = measure_entry_cost("plain", LOGGING_LAUNCHER, REQUESTS, tmp_path / "plain")
    quiet = measure_entry_cost("quiet", SILENT_LAUNCHER, REQUESTS, tmp_path / "quiet")
    assert plain.answered == quiet.answered == REQUESTS
    assert plain.log_lines >= REQUESTS and quiet.log_lines == 0
    assert plain.cpu_ms > 0 and quiet.cpu_ms > 0


def spin():
    return sum(range(200_000))


def test_the_hottest_function_comes_first_and_is_counted_by_request(tmp_path):
    path = tmp_path / "profile"
    profile = cProfile.Profile()
    profile.runcall(lambda: [spin() for _ in range(4)])
    profile.dump_stats(path)
    found = hottest_functions(path, requests=2)
    assert "sum" in found[0].place and found[0].calls_per_request == 2.0
    assert found[0].own_us > found[-1].own_us


def test_the_report_gives_figures_by_answer_and_second():
    cost = EntryCost("with log", 200, 1_000.0, 500.0, 400)
    assert "| with log | 200 | 200 | 2.50 | 400 |" in markdown([cost], [])
