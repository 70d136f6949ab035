"""Tests of the measurement of an entry's processor time per request."""

import cProfile

from ebonyshore_bench.entry_cost import (
    LOGGING_ARGUMENTS,
    SILENT_ARGUMENTS,
    EntryCost,
    hottest_functions,
    markdown,
    measure_entry_cost,
)

REQUESTS = 40


def test_run_without_log_writes_no_lines_and_answers_all_requests(tmp_path):
    """Runs with and without log are comparable only if both answer the same number of requests."""
    (tmp_path / "plain").mkdir()
    (tmp_path / "quiet").mkdir()
    logging = measure_entry_cost("plain", LOGGING_ARGUMENTS, REQUESTS, tmp_path / "plain")
    silent = measure_entry_cost("quiet", SILENT_ARGUMENTS, REQUESTS, tmp_path / "quiet")
    assert logging.answered == silent.answered == REQUESTS
    assert logging.log_lines >= REQUESTS and silent.log_lines == 0
    assert logging.cpu_ms > 0 and silent.cpu_ms > 0


def burn_cpu():
    return sum(range(200_000))


def test_hottest_function_comes_first_with_calls_per_request(tmp_path):
    path = tmp_path / "profile"
    profile = cProfile.Profile()
    profile.runcall(lambda: [burn_cpu() for _ in range(4)])
    profile.dump_stats(path)
    functions = hottest_functions(path, requests=2)
    assert "sum" in functions[0].place and functions[0].calls_per_request == 2.0
    assert functions[0].own_us > functions[-1].own_us


def test_report_gives_figures_per_answer_and_per_second():
    cost = EntryCost("with log", 200, 1_000.0, 500.0, 400)
    assert "| with log | 200 | 200 | 2.50 | 400 |" in markdown([cost], [])
