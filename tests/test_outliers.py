"""Detection of targets that fail some of their requests but pass their health check."""

from random import Random

from ebonyshore.host.outliers import (
    HALF_LIFE_MS,
    MIN_FAILURE_RATE,
    OutcomeHistory,
    find_outliers,
)


def failure_rate_after(outcomes, gap_ms=100.0):
    history = OutcomeHistory()
    for number, failed in enumerate(outcomes):
        history.record(failed, number * gap_ms)
    return history.failure_rate(len(outcomes) * gap_ms)


def test_single_failure_is_not_significant():
    assert failure_rate_after([1.0]) == 0.0
    assert failure_rate_after([0.0] * 9 + [1.0]) < MIN_FAILURE_RATE


def test_target_failing_two_in_five_requests_is_detected_within_seconds():
    """Fault pattern: four of ten requests fail while the health check passes."""
    random = Random(3)
    detected = 0
    for _ in range(200):
        rate = failure_rate_after([float(random.random() < 0.4) for _ in range(20)])
        detected += rate >= MIN_FAILURE_RATE
    assert detected > 180


def test_healthy_target_with_a_few_lost_responses_is_no_outlier():
    """Fault pattern: two or three responses in a hundred are lost at every target."""
    random = Random(4)
    false_positives = sum(
        failure_rate_after([float(random.random() < 0.025) for _ in range(20)]) >= MIN_FAILURE_RATE
        for _ in range(500)
    )
    assert false_positives < 10


def test_failure_rate_of_a_target_without_requests_is_reset():
    """Guards against avoiding a target forever, since an avoided target gets no requests."""
    outcomes = OutcomeHistory()
    for number in range(8):
        outcomes.record(1.0, number * 10.0)
    assert outcomes.failure_rate(100.0) == 1.0
    assert outcomes.failure_rate(100.0 + 2 * HALF_LIFE_MS) == 0.0


def test_number_of_outliers_is_limited():
    failure_rates = [(f"t{number}", number / 10) for number in range(9)]
    assert find_outliers(failure_rates) == {"t6", "t7", "t8"}
    assert find_outliers([("t1", 1.0), ("t2", 1.0)]) == set()
