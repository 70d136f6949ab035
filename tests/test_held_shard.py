"""Decisions of a shard's holder, without store or sockets."""

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


def target(name: str, room: int = 4, incarnation: str = "i", tick_ms: float = 0.0) -> TargetView:
    load = Load(batch_room=room)
    return TargetView(
        name, "", "", "", ("writer",), incarnation=incarnation, tick_ms=tick_ms, load=load
    )


def work_of(count: int, *targets: TargetView) -> HeldShard:
    job = JobRecord("j", "c", "care", "f", PATH, count, count, 0, 0, "")
    record = MarkedObject("shards/j/0", 1, 1, (), ShardRecord("j", 0, count, "me", 1))
    permits = {t.target_id: Permit("i", 0.0) for t in targets}
    work = HeldShard(job, record, 0.0, permits, LIMITS)
    pending = [PendingItem(n, f"c{n}", parse_generation(PATH, BODY)) for n in range(count)]
    work.add_items(set(), pending, [])
    return work


def send(work: HeldShard, now_ms: float, *targets: TargetView) -> list[str]:
    """Send all that may be sent; return the request ids."""
    rooms = {t.target_id: t.load.batch_room for t in targets}
    ids = []
    for item, chosen in work.select_dispatches(now_ms, {t.target_id: t for t in targets}, rooms):
        ids.append(f"{item.number}-{chosen.target_id}-{now_ms}")
        work.record_dispatch(ids[-1], item, chosen.target_id, now_ms)
    return ids


def failed(request_id: str, code: ResultCode, resume_text: str = "") -> Failed:
    return Failed(request_id, code, Execution.MAYBE_RUN, resume_text=resume_text)


def outcomes(work: HeldShard) -> list[ItemOutcome]:
    return list(work.make_update(StoreAction.CHECKPOINT).outcomes)


def test_refused_item_waits_longer_each_time_and_loses_no_attempt() -> None:
    """Guards against a busy loop of dispatches and refusals."""
    a = target("a")
    work = work_of(1, a)
    now_ms = 0.0
    dispatches = 0
    while now_ms < 10_000:
        for request_id in send(work, now_ms, a):
            dispatches += 1
            work.end_dispatch(Refused(request_id, ResultCode.TARGET_BUSY), now_ms, MAX_ATTEMPTS)
        now_ms += 50
    assert 3 <= dispatches <= 10
    assert work.waiting[0].attempts == 0


def test_item_fails_with_its_reason_after_its_attempts() -> None:
    a = target("a")
    work = work_of(1, a)
    for attempt in range(MAX_ATTEMPTS):
        (request_id,) = send(work, attempt * 3_000.0, a)
        work.end_dispatch(
            failed(request_id, ResultCode.TARGET_CRASHED), attempt * 3_000.0, MAX_ATTEMPTS
        )
    (outcome,) = outcomes(work)
    assert outcome.code is ResultCode.ATTEMPTS_EXHAUSTED
    assert "TARGET_CRASHED" in outcome.detail
    assert work.next_action(0.0) is StoreAction.FINISH


def test_crash_makes_the_item_a_suspect_also_for_the_next_holder() -> None:
    a = target("a")
    work = work_of(1, a)
    (request_id,) = send(work, 0.0, a)
    work.end_dispatch(failed(request_id, ResultCode.TARGET_CRASHED), 0.0, MAX_ATTEMPTS)
    assert work.waiting[0].is_suspect
    progress = work.make_update(StoreAction.HAND_BACK)
    assert progress.suspect_items == (0,)
    assert progress.attempts == {0: 1}


def test_preempted_item_is_resumed_and_its_answer_is_whole() -> None:
    """Guards against an answer that lacks the text generated before a preemption."""
    a = target("a")
    work = work_of(1, a)
    (request_id,) = send(work, 0.0, a)
    work.end_dispatch(failed(request_id, ResultCode.PREEMPTED, "one "), 0.0, MAX_ATTEMPTS)
    assert work.waiting[0].resume_text == "one "
    (request_id,) = send(work, 1_000.0, a)
    work.add_chunk(request_id, STOP_EVENT)
    work.end_dispatch(Finished(request_id, 1), 1_000.0, MAX_ATTEMPTS)
    (outcome,) = outcomes(work)
    assert decode(outcome.body)["choices"][0]["text"] == "one two "
    assert outcome.attempts == 1


def test_truncated_answer_is_no_result() -> None:
    a = target("a")
    work = work_of(1, a)
    (request_id,) = send(work, 0.0, a)
    work.add_chunk(request_id, encode({"choices": [{"text": "one "}]}))
    work.end_dispatch(Finished(request_id, 1), 0.0, MAX_ATTEMPTS)
    assert not outcomes(work)
    assert work.waiting[0].attempts == 1


@pytest.mark.parametrize(
    "view", [target("a", incarnation="later"), target("a", tick_ms=9_500.0), target("b")]
)
def test_nothing_is_sent_without_a_valid_permit(view: TargetView) -> None:
    """Guards against dispatches to a restarted or unknown agent, or with a permit that is over."""
    assert not send(work_of(2, target("a")), 0.0, view)


def test_nothing_is_sent_when_the_lease_may_have_lapsed() -> None:
    a = target("a")
    assert send(work_of(2, a), 14_999.0, a)
    assert not send(work_of(2, a), 15_000.0, a)


def test_straggler_gets_one_copy_and_one_outcome() -> None:
    """Guards against a slow target that holds up a shard, and against two results of one item."""
    a, b = target("a", room=1), target("b", room=1)
    work = work_of(2, a, b)
    first = send(work, 0.0, a, b)
    work.add_chunk(first[0], STOP_EVENT)
    work.end_dispatch(Finished(first[0], 1), 1_000.0, MAX_ATTEMPTS)
    assert not send(work, 9_000.0, a, b)
    (copy,) = send(work, 11_000.0, a, b)
    assert not send(work, 12_000.0, a, b)
    work.add_chunk(copy, STOP_EVENT)
    assert work.end_dispatch(Finished(copy, 1), 12_000.0, MAX_ATTEMPTS) == [first[1]]
    work.add_chunk(first[1], STOP_EVENT)
    work.end_dispatch(Finished(first[1], 1), 12_100.0, MAX_ATTEMPTS)
    assert [outcome.item for outcome in outcomes(work)] == [0, 1]


def test_cancelled_job_keeps_what_is_done_and_starts_nothing() -> None:
    a = target("a", room=1)
    work = work_of(3, a)
    (request_id,) = send(work, 0.0, a)
    work.job = JobRecord("j", "c", "", "f", PATH, 3, 3, 0, 0, "", state=JobState.CANCELLING)
    assert not send(work, 100.0, a)
    assert work.take_dispatches_to_cancel() == [request_id]
    assert work.next_action(100.0) is StoreAction.NONE
    work.add_chunk(request_id, STOP_EVENT)
    work.end_dispatch(Finished(request_id, 1), 200.0, MAX_ATTEMPTS)
    assert work.next_action(200.0) is StoreAction.FINISH
    assert [outcome.item for outcome in work.make_update(StoreAction.FINISH).outcomes] == [0]


def test_second_outcome_of_an_item_stops_the_process() -> None:
    work = work_of(1)
    with pytest.raises(InvariantError):
        work.add_items({0}, [], [ItemOutcome(0, "c0", ResultCode.INVALID_REQUEST)])


def test_lines_that_can_never_be_done_fail_with_their_reason() -> None:
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
    pending, refused = parse_items(enumerate(lines), rules)
    assert [item.number for item in pending] == [0]
    assert [outcome.code for outcome in refused] == [
        ResultCode.INVALID_REQUEST,
        ResultCode.INVALID_REQUEST,
        ResultCode.UNKNOWN_MODEL,
        ResultCode.INVALID_REQUEST,
    ]
    assert "custom_id" in refused[3].detail
