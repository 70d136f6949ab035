"""The slots that batch items can use, and the rate at which they are completed."""

import pytest

from ebonyshore.runner.completion_rate import MIN_COMPLETIONS, CompletionRate


def test_the_rate_is_unknown_before_enough_items_have_ended():
    rate = CompletionRate()
    rate.record_slots(10, 0.0)
    for _ in range(MIN_COMPLETIONS - 1):
        rate.record_completion(100, 500.0)
    assert rate.tokens_per_ms() is None
    rate.record_completion(100, 500.0)
    assert rate.tokens_per_ms() == pytest.approx(10 / 5.0)


def test_slots_are_a_mean_over_bursts_of_online_requests():
    rate = CompletionRate()
    for step in range(400):
        rate.record_slots(0 if step // 33 % 2 else 20, step * 100.0)
    assert 6.0 < rate.slots < 14.0


def test_the_slots_seen_at_the_start_are_soon_forgotten():
    """Guards against a runner that takes itself for able to complete everything for half a minute,
    because it did not know the load of the others when it started."""
    rate = CompletionRate()
    rate.record_slots(100, 0.0)
    for step in range(1, 30):
        rate.record_slots(10, step * 100.0)
    assert rate.slots < 20.0


def test_an_item_without_tokens_says_nothing():
    rate = CompletionRate()
    rate.record_completion(0, 500.0)
    assert rate.slot_ms_per_token == 0.0
