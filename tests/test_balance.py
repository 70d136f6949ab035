"""Choice of the target of an online request, and refusals, at the peak of a burst."""

from ebonyshore.gateway.balance import (
    MAX_RETRY_AFTER_MS,
    TargetLoad,
    choose_target,
    max_queued_requests,
    retry_after_ms,
)


def load(target_id, online=0, batch=0, is_local=False, is_avoided=False):
    return TargetLoad(target_id, 8, online, batch, is_local, is_avoided)


def test_free_slots_are_preferred_to_preempting_batch_items():
    loads = [load("full_of_batch", online=0, batch=8), load("free", online=7, batch=0)]
    assert choose_target(loads, 0, 0.0).target_id == "free"


def test_without_free_slots_only_online_requests_count():
    """Load pattern: a burst arrives while all slots are occupied, some of them by batch items."""
    loads = [load("t1", online=8, batch=1), load("t2", online=2, batch=6)]
    assert all(choose_target(loads, 5, step / 10).target_id == "t2" for step in range(11))


def chosen_share(loads, target_id, draw_count=400):
    chosen = [choose_target(loads, 0, step / draw_count).target_id for step in range(draw_count)]
    return chosen.count(target_id) / draw_count


def test_entries_with_the_same_load_reports_spread_their_choices():
    """Load pattern: 27 entries choose within the 40 ms until they learn of each other's choices. If
    all of them chose the emptiest target, ten requests would queue for its six free slots."""
    loads = [load("t1", online=2), load("t2", online=4), load("t3", online=6), load("t4", online=8)]
    assert 0.45 < chosen_share(loads, "t1") < 0.55
    assert 0.28 < chosen_share(loads, "t2") < 0.38
    assert chosen_share(loads, "t4") == 0.0


def test_local_targets_are_preferred_at_equal_load():
    loads = [load("far", online=1), load("near", online=1, is_local=True)]
    assert 0.55 < chosen_share(loads, "near") < 0.65


def test_queue_length_is_limited_by_the_target_latency():
    assert max_queued_requests(8, 300.0, 700.0) == 2
    assert max_queued_requests(8, 300.0, 100_000.0) == 0
    full = [load("t1", online=10), load("t2", online=9)]
    assert all(choose_target(full, 2, step / 10).target_id == "t2" for step in range(11))
    assert choose_target([load("t1", online=10)], 2, 0.0) is None


def test_avoided_targets_are_used_only_without_alternative():
    loads = [load("suspect", is_avoided=True), load("busy", online=7)]
    assert all(choose_target(loads, 0, step / 10).target_id == "busy" for step in range(11))
    assert choose_target(loads[:1], 0, 0.0).target_id == "suspect"


def test_retry_delays_of_refused_callers_are_spread():
    loads = [load("t1", online=16)]
    delays_ms = [retry_after_ms(loads, 700.0, step / 10) for step in range(11)]
    assert delays_ms == sorted(delays_ms) and delays_ms[0] >= 400.0
    assert delays_ms[-1] == MAX_RETRY_AFTER_MS
