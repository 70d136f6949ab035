"""Finding targets that fail a part of their requests while their health check is good."""

from random import Random

from ebonyshore.host.outliers import (
    HALF_LIFE_MS,
    MIN_FAILURE_RATE,
    OutcomeHistory,
    find_outliers,
)


def score(outcomes, gap_ms=100.0):
    result = OutcomeHistory()
    for number, failed in enumerate(outcomes):
        result.record(failed, number * gap_ms)
    return result.failure_rate(len(outcomes) * gap_ms)


def test_one_bad_answer_says_nothing():
    assert score([1.0]) == 0.0
    assert score([0.0] * 9 + [1.0]) < MIN_FAILURE_RATE


def test_a_target_that_fails_two_in_five_is_found_within_seconds():
    """Fault pattern: four of ten requests fail while the health check is good."""
    random = Random(3)
    found = 0
    for _ in range(200):
        share = score([float(random.random() < 0.4) for _ in range(20)])
        found += share >= MIN_FAILURE_RATE
    assert found > 180


def test_a_sound_target_with_a_few_lost_answers_is_not_taken_out():
    """Fault pattern: two or three answers in a hundred are lost everywhere."""
    random = Random(4)
    wrong = sum(
        score([float(random.random() < 0.025) for _ in range(20)]) >= MIN_FAILURE_RATE
        for _ in range(500)
    )
    assert wrong < 10


def test_a_target_that_is_left_alone_gets_another_chance():
    outcomes = OutcomeHistory()
    for number in range(8):
        outcomes.record(1.0, number * 10.0)
    assert outcomes.failure_rate(100.0) == 1.0
    assert outcomes.failure_rate(100.0 + 2 * HALF_LIFE_MS) == 0.0


def test_no_more_are_taken_out_than_the_others_can_carry():
    shares = [(f"t{number}", number / 10) for number in range(9)]
    assert find_outliers(shares) == {"t6", "t7", "t8"}
    assert find_outliers([("t1", 1.0), ("t2", 1.0)]) == set()
