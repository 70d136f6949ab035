"""Tests of the decisions of a shard's holder, without a store or sockets."""

import pytest
from msgspec.json import decode, encode

from ebonyshore.batch.batch_items import ItemRules, PendingItem, parse_items
from ebonyshore.batch.held_shard import HeldShard, ShardLimits, StoreAction
from ebonyshore.batch.jobs import ItemOutcome, JobRecord, JobState, ShardRecord
from ebonyshore.entry.membership import TargetView
from ebonyshore.entry.openai_api import check_generation, parse_generation
from ebonyshore.frame.errors import InvariantError
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.link.messages import Execution, Failed, Finished, Load, Permit, Refused
from ebonyshore.settings.settings_tree import SettingsTree
from ebonyshore.store.marked_write import MarkedObject

PATH = "/v1/completions"
BODY = encode({"model": "writer", "prompt": "p", "max_tokens": 4})
LIMITS = ShardLimits(20_000, 5_000, 10_000, 8)
STOP_EVENT = encode({"choices": [{"text": "two ", "finish_reason": "stop"}]})
MAX_ATTEMPTS = 4


def make_target(
    name: str, room: int = 4, incarnation: str = "i", tick_ms: float = 0.0
) -> TargetView:
    load = Load(batch_room=room)
    return TargetView(
        name, "", "", "", ("writer",), incarnation=incarnation, tick_ms=tick_ms, load=load
    )


def make_shard(count: int, *targets: TargetView) -> HeldShard:
    job = JobRecord("j", "c", "care", "f", PATH, count, count, 0, 0, "")
    record = MarkedObject("shards/j/0", 1, 1, (), ShardRecord("j", 0, count, "me", 1))
    permits = {t.target_id: Permit("i", 0.0) for t in targets}
    shard = HeldShard(job, record, 0.0, permits, LIMITS)
    pending = [PendingItem(n, f"c{n}", parse_generation(PATH, BODY)) for n in range(count)]
    shard.add_items(set(), pending, [])
    return shard


def send(shard: HeldShard, now_ms: float, *targets: TargetView) -> list[str]:
    """Record the dispatch of all items that may be dispatched; return the request ids."""
    free_slots = {t.target_id: t.load.batch_room for t in targets}
    ids = []
    for item, chosen in shard.select_dispatches(
        now_ms, {t.target_id: t for t in targets}, free_slots
    ):
        ids.append(f"{item.number}-{chosen.target_id}-{now_ms}")
        shard.record_dispatch(ids[-1], item, chosen.target_id, now_ms)
    return ids


def make_failed(request_id: str, code: ResultCode, resume_text: str = "") -> Failed:
    return Failed(request_id, code, Execution.MAYBE_RUN, resume_text=resume_text)


def uncommitted_outcomes(shard: HeldShard) -> list[ItemOutcome]:
    return list(shard.make_update(StoreAction.CHECKPOINT).outcomes)


def test_refused_item_backs_off_and_keeps_its_attempts() -> None:
    """Guards against a busy loop of dispatches and refusals."""
    a = make_target("a")
    shard = make_shard(1, a)
    now_ms = 0.0
    dispatches = 0
    while now_ms < 10_000:
        for request_id in send(shard, now_ms, a):
            dispatches += 1
            shard.end_dispatch(Refused(request_id, ResultCode.TARGET_BUSY), now_ms, MAX_ATTEMPTS)
        now_ms += 50
    assert 3 <= dispatches <= 10
    assert shard.waiting[0].attempts == 0


def test_item_fails_when_its_attempts_are_exhausted() -> None:
    a = make_target("a")
    shard = make_shard(1, a)
    for attempt in range(MAX_ATTEMPTS):
        (request_id,) = send(shard, attempt * 3_000.0, a)
        shard.end_dispatch(
            make_failed(request_id, ResultCode.TARGET_CRASHED), attempt * 3_000.0, MAX_ATTEMPTS
        )
    (outcome,) = uncommitted_outcomes(shard)
    assert outcome.code is ResultCode.ATTEMPTS_EXHAUSTED
    assert "TARGET_CRASHED" in outcome.detail
    assert shard.next_action(0.0) is StoreAction.FINISH


def test_item_of_a_crash_is_a_suspect_for_the_next_holder_too() -> None:
    a = make_target("a")
    shard = make_shard(1, a)
    (request_id,) = send(shard, 0.0, a)
    shard.end_dispatch(make_failed(request_id, ResultCode.TARGET_CRASHED), 0.0, MAX_ATTEMPTS)
    assert shard.waiting[0].is_suspect
    update = shard.make_update(StoreAction.HAND_BACK)
    assert update.suspect_items == (0,)
    assert update.attempts == {0: 1}


def test_answer_to_a_resumed_item_includes_the_text_before_the_preemption() -> None:
    """Guards against an answer that lacks the text generated before a preemption."""
    a = make_target("a")
    shard = make_shard(1, a)
    (request_id,) = send(shard, 0.0, a)
    shard.end_dispatch(make_failed(request_id, ResultCode.PREEMPTED, "one "), 0.0, MAX_ATTEMPTS)
    assert shard.waiting[0].resume_text == "one "
    (request_id,) = send(shard, 1_000.0, a)
    shard.add_chunk(request_id, STOP_EVENT)
    shard.end_dispatch(Finished(request_id, 1), 1_000.0, MAX_ATTEMPTS)
    (outcome,) = uncommitted_outcomes(shard)
    assert decode(outcome.body)["choices"][0]["text"] == "one two "
    assert outcome.attempts == 1


def test_truncated_answer_is_a_failed_attempt() -> None:
    a = make_target("a")
    shard = make_shard(1, a)
    (request_id,) = send(shard, 0.0, a)
    shard.add_chunk(request_id, encode({"choices": [{"text": "one "}]}))
    shard.end_dispatch(Finished(request_id, 1), 0.0, MAX_ATTEMPTS)
    assert not uncommitted_outcomes(shard)
    assert shard.waiting[0].attempts == 1


@pytest.mark.parametrize(
    "view",
    [make_target("a", incarnation="later"), make_target("a", tick_ms=9_500.0), make_target("b")],
)
def test_no_item_is_dispatched_without_a_valid_permit(view: TargetView) -> None:
    """Guards against dispatches to a restarted or unknown agent, or with an expired permit."""
    assert not send(make_shard(2, make_target("a")), 0.0, view)


def test_no_item_is_dispatched_near_the_end_of_the_lease() -> None:
    a = make_target("a")
    assert send(make_shard(2, a), 14_999.0, a)
    assert not send(make_shard(2, a), 15_000.0, a)


def test_straggler_is_dispatched_twice_and_has_one_outcome() -> None:
    """Guards against a slow target that delays the end of a shard, and against two outcomes of an
    item."""
    a, b = make_target("a", room=1), make_target("b", room=1)
    shard = make_shard(2, a, b)
    first = send(shard, 0.0, a, b)
    shard.add_chunk(first[0], STOP_EVENT)
    shard.end_dispatch(Finished(first[0], 1), 1_000.0, MAX_ATTEMPTS)
    assert not send(shard, 9_000.0, a, b)
    (copy,) = send(shard, 11_000.0, a, b)
    assert not send(shard, 12_000.0, a, b)
    shard.add_chunk(copy, STOP_EVENT)
    assert shard.end_dispatch(Finished(copy, 1), 12_000.0, MAX_ATTEMPTS) == [first[1]]
    shard.add_chunk(first[1], STOP_EVENT)
    shard.end_dispatch(Finished(first[1], 1), 12_100.0, MAX_ATTEMPTS)
    assert [outcome.item for outcome in uncommitted_outcomes(shard)] == [0, 1]


def test_shard_of_a_cancelled_job_starts_no_item_and_keeps_its_results() -> None:
    a = make_target("a", room=1)
    shard = make_shard(3, a)
    (request_id,) = send(shard, 0.0, a)
    shard.job = JobRecord("j", "c", "", "f", PATH, 3, 3, 0, 0, "", state=JobState.CANCELLING)
    assert not send(shard, 100.0, a)
    assert shard.take_dispatches_to_cancel() == [request_id]
    assert shard.next_action(100.0) is StoreAction.NONE
    shard.add_chunk(request_id, STOP_EVENT)
    shard.end_dispatch(Finished(request_id, 1), 200.0, MAX_ATTEMPTS)
    assert shard.next_action(200.0) is StoreAction.FINISH
    assert [outcome.item for outcome in shard.make_update(StoreAction.FINISH).outcomes] == [0]


def test_second_outcome_of_an_item_is_an_invariant_error() -> None:
    shard = make_shard(1)
    with pytest.raises(InvariantError):
        shard.add_items({0}, [], [ItemOutcome(0, "c0", ResultCode.INVALID_REQUEST)])


def test_invalid_lines_have_failed_outcomes() -> None:
    good = {"custom_id": "a", "url": PATH, "body": decode(BODY)}
    lines = [
        encode(good),
        b"{",
        encode({**good, "custom_id": "b", "url": "/v1/chat/completions"}),
        encode({**good, "custom_id": "c", "body": {"model": "lost", "prompt": "p"}}),
        encode(good),
    ]
    tree = SettingsTree(1, {"/tiers/t": {}, "/tiers/t/models/writer": {}})
    rules = ItemRules(PATH, frozenset({4}), lambda request: check_generation(request, tree))
    pending, failed = parse_items(enumerate(lines), rules)
    assert [item.number for item in pending] == [0]
    assert [outcome.code for outcome in failed] == [
        ResultCode.INVALID_REQUEST,
        ResultCode.INVALID_REQUEST,
        ResultCode.UNKNOWN_MODEL,
        ResultCode.INVALID_REQUEST,
    ]
    assert "custom_id" in failed[3].detail
