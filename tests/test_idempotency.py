"""Idempotency records: one result for all tries under one key."""

from random import Random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from ebonyshore.entry.idempotency import Claim, IdempotencyStore, IdempotentRequest, PendingClaim
from ebonyshore.entry.idempotency_records import PART_BYTES, CompleteAnswer
from ebonyshore.entry.idempotency_sweep import IdempotencySweeper
from ebonyshore.frame.errors import RefusedError, RequestError
from ebonyshore.frame.result_codes import Execution, ResultCode
from ebonyshore.link.messages import Finished
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore_standins.event_clock import EventClock
from ebonyshore_standins.memory_platform import MemoryPlatform, PlatformFaults

DEADLINE_MS = 1_000.0
LAPSE_MS = 2_100.0
EXPIRY_MS = 3_600_000.0
KEYS = {"plan": True, "label": False}


class Crash(BaseException):
    """The process died."""


class FusedStore:
    """A store whose caller dies at a chosen write, before or after it takes effect."""

    def __init__(self, platform: MemoryPlatform) -> None:
        self._platform = platform
        self.writes_left: int | None = None
        self.has_effect = False

    def __getattr__(self, name: str) -> object:
        return getattr(self._platform, name)

    def put(self, key: str, value: bytes, expected_version: int) -> int:
        if self.writes_left is None:
            return self._platform.put(key, value, expected_version)
        self.writes_left -= 1
        if self.writes_left >= 0:
            return self._platform.put(key, value, expected_version)
        if self.has_effect:
            self._platform.put(key, value, expected_version)
        raise Crash


class Entry:
    def __init__(self, platform: MemoryPlatform, clock: EventClock) -> None:
        self.fuse = FusedStore(platform)
        self.store = IdempotencyStore(MarkedStore(self.fuse, clock), clock, lambda: EXPIRY_MS)


def request_for(key: str, content: str = "content") -> IdempotentRequest:
    return IdempotentRequest("caller", key, content, KEYS.get(key, True), DEADLINE_MS)


def answer_of(text: str) -> CompleteAnswer:
    return CompleteAnswer((text.encode(),), Finished("", 1))


class OnceMachine(RuleBasedStateMachine):
    """Two entries, one key; tries may stop anywhere and go on much later."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = EventClock(1_000.0)
        self.platform = MemoryPlatform(self.clock)
        self.entries = [Entry(self.platform, self.clock) for _ in range(2)]
        self.tries: list[tuple[int, str, Claim]] = []
        self.ran: dict[str, str] = {}
        self.runs = dict.fromkeys(KEYS, 0)
        self.results: dict[str, set[tuple[bytes, ...]]] = {key: set() for key in KEYS}
        self.closed: dict[str, int] = {}

    @initialize(key=st.sampled_from(sorted(KEYS)))
    def choose_key(self, key: str) -> None:
        self.key = key

    @rule(
        entry=st.integers(0, 1),
        pause_ms=st.sampled_from([0.0, 0.0, 300.0, LAPSE_MS]),
        runs=st.booleans(),
        crash=st.integers(0, 9),
    )
    def begin(self, entry: int, pause_ms: float, runs: bool, crash: int) -> None:
        self.clock.sleep_ms(pause_ms)
        key = self.key
        try:
            result = self._arm(entry, crash).try_claim(request_for(key))
        except Crash:
            self._restart(entry)
        except RefusedError as error:
            self._note_refusal(key, error)
        else:
            if isinstance(result, Claim):
                self.tries.append((entry, key, result))
                if runs:
                    self._run(key, result)
            elif not isinstance(result, PendingClaim):
                self.results[key].add(result.chunks)
        self._disarm(entry)

    @precondition(lambda self: self.tries)
    @rule(data=st.data())
    def run(self, data: st.DataObject) -> None:
        _, key, claim = data.draw(st.sampled_from(self.tries))
        self._run(key, claim)

    def _run(self, key: str, claim: Claim) -> None:
        claim_id = claim.record.body.claim_id
        is_late = self.clock.monotonic_ms() >= claim.deadline_ms
        if not is_late and claim_id not in self.ran:
            assert key not in self.closed, "a closed request ran"
            self.runs[key] += 1
            self.ran[claim_id] = f"{key} run {self.runs[key]}"

    @precondition(lambda self: self.tries)
    @rule(data=st.data(), crash=st.integers(0, 9))
    def finish(self, data: st.DataObject, crash: int) -> None:
        number = data.draw(st.integers(0, len(self.tries) - 1))
        entry, key, claim = self.tries.pop(number)
        text = self.ran.get(claim.record.body.claim_id)
        try:
            store = self._arm(entry, crash)
            if text is None:
                store.record_failure(claim, RefusedError(execution=Execution.NOT_RUN))
            else:
                self.results[key].add(store.record_result(claim, answer_of(text)).chunks)
        except Crash:
            self._restart(entry)
        except RefusedError as error:
            assert error.execution is not Execution.NOT_RUN
            store.record_failure(claim, error)
        self._disarm(entry)

    @precondition(lambda self: self.tries)
    @rule(data=st.data())
    def lose_the_agent(self, data: st.DataObject) -> None:
        number = data.draw(st.integers(0, len(self.tries) - 1))
        entry, _, claim = self.tries.pop(number)
        has_run = claim.record.body.claim_id in self.ran
        execution = Execution.MAYBE_RUN if has_run else Execution.NOT_RUN
        self.entries[entry].store.record_failure(claim, RefusedError(execution=execution))

    @rule(entry=st.integers(0, 1))
    def crash(self, entry: int) -> None:
        self._restart(entry)

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count: int) -> None:
        self.platform.faults.lose_next_answers = count

    @rule(duration_ms=st.sampled_from([200.0, 7_000.0]))
    def take_the_store_down(self, duration_ms: float) -> None:
        self.platform.set_faults(PlatformFaults(is_down=True))
        self.clock.call_later(duration_ms, lambda: self.platform.set_faults(PlatformFaults()))

    @invariant()
    def one_result(self) -> None:
        assert all(len(results) <= 1 for results in self.results.values())
        assert self.runs["label"] <= 1

    def _arm(self, entry: int, crash: int) -> IdempotencyStore:
        fuse = self.entries[entry].fuse
        fuse.writes_left = 0 if crash < 2 else None
        fuse.has_effect = crash == 1
        return self.entries[entry].store

    def _disarm(self, entry: int) -> None:
        self.entries[entry].fuse.writes_left = None

    def _restart(self, entry: int) -> None:
        self.entries[entry] = Entry(self.platform, self.clock)
        self.tries = [each for each in self.tries if each[0] != entry]

    def _note_refusal(self, key: str, error: RefusedError) -> None:
        assert error.execution is Execution.MAYBE_RUN
        if error.code is ResultCode.OUTCOME_UNKNOWN:
            assert not KEYS[key]
            self.closed[key] = self.runs[key]


OnceMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestOnceMachine = OnceMachine.TestCase


@pytest.fixture
def event_clock() -> EventClock:
    return EventClock(1_000.0)


@pytest.fixture
def shared(event_clock: EventClock) -> MemoryPlatform:
    return MemoryPlatform(event_clock)


@pytest.fixture
def entries(shared: MemoryPlatform, event_clock: EventClock) -> list[IdempotencyStore]:
    return [Entry(shared, event_clock).store for _ in range(2)]


def test_calls_per_request(entries: list[IdempotencyStore], shared: MemoryPlatform) -> None:
    """Guards against a change that costs the platform more calls than the design page says."""
    claim = entries[0].try_claim(request_for("plan"))
    entries[0].record_result(claim, answer_of("text"))
    assert dict(shared.calls) == {"put": 2}
    shared.calls.clear()
    entries[1].try_claim(request_for("plan"))
    assert dict(shared.calls) == {"put": 1, "get": 1}


def test_resend_waits_for_the_first_try(
    entries: list[IdempotencyStore], shared: MemoryPlatform, event_clock: EventClock
) -> None:
    claim = entries[0].try_claim(request_for("plan"))
    event_clock.call_later(300, lambda: entries[0].record_result(claim, answer_of("text")))
    result = entries[1].claim(request_for("plan"), event_clock.monotonic_ms() + 900, lambda: False)
    assert result.chunks == (b"text",)
    assert shared.calls["watch"] == 1


def test_other_content_is_an_error(entries: list[IdempotencyStore]) -> None:
    entries[0].try_claim(request_for("plan"))
    with pytest.raises(RequestError) as refusal:
        entries[1].try_claim(request_for("plan", "other"))
    assert refusal.value.code is ResultCode.IDEMPOTENCY_MISMATCH


def test_store_outage_refuses_without_claiming_that_nothing_ran(
    entries: list[IdempotencyStore], shared: MemoryPlatform
) -> None:
    shared.set_faults(PlatformFaults(is_down=True))
    with pytest.raises(RefusedError) as refusal:
        entries[0].try_claim(request_for("plan"))
    assert refusal.value.execution is Execution.MAYBE_RUN
    assert refusal.value.retry_after_ms


@pytest.mark.parametrize("key", KEYS)
def test_lost_try_is_taken_over_or_closed(
    key: str, entries: list[IdempotencyStore], event_clock: EventClock
) -> None:
    """Guards against a lost entry blocking a key, and against a second run of a no-repeat one."""
    entries[0].try_claim(request_for(key))
    end_ms = event_clock.monotonic_ms() + 3 * DEADLINE_MS
    if KEYS[key]:
        result = entries[1].claim(request_for(key), end_ms, lambda: False)
        assert result.record.body.epoch == 2
        return
    attempts = (
        lambda: entries[1].claim(request_for(key), end_ms, lambda: False),
        lambda: entries[0].try_claim(request_for(key)),
    )
    for attempt in attempts:
        with pytest.raises(RefusedError) as refusal:
            attempt()
        assert refusal.value.code is ResultCode.OUTCOME_UNKNOWN
        assert refusal.value.retry_after_ms is None


@pytest.mark.parametrize("key", KEYS)
def test_no_try_is_taken_over_before_its_deadline(
    key: str, entries: list[IdempotencyStore], event_clock: EventClock
) -> None:
    """Guards against a second run, or a closed record, while the first try still runs."""
    claim = entries[0].try_claim(request_for(key))
    assert isinstance(entries[1].try_claim(request_for(key)), PendingClaim)
    event_clock.sleep_ms(claim.deadline_ms - event_clock.monotonic_ms())
    assert isinstance(entries[1].try_claim(request_for(key)), PendingClaim)


@pytest.mark.parametrize("is_first_to_finish", [True, False])
def test_frozen_entry_that_wakes_gives_out_no_second_result(
    is_first_to_finish: bool, entries: list[IdempotencyStore], event_clock: EventClock
) -> None:
    """Guards against two callers of one key with two different answers."""
    frozen = entries[0].try_claim(request_for("plan"))
    end_ms = event_clock.monotonic_ms() + 3 * DEADLINE_MS
    taken = entries[1].claim(request_for("plan"), end_ms, lambda: False)
    if is_first_to_finish:
        with pytest.raises(RefusedError) as refusal:
            entries[0].record_result(frozen, answer_of("one"))
        assert refusal.value.execution is Execution.RUN
        entries[0].record_failure(frozen, refusal.value)
    assert entries[1].record_result(taken, answer_of("two")).chunks == (b"two",)
    if not is_first_to_finish:
        assert entries[0].record_result(frozen, answer_of("one")).chunks == (b"two",)


def test_result_larger_than_one_object(
    entries: list[IdempotencyStore], shared: MemoryPlatform
) -> None:
    """Guards against a result that cannot be kept, and so runs again with each resend."""
    large = CompleteAnswer((Random(1).randbytes(2 * PART_BYTES),), Finished("", 1))
    claim = entries[0].try_claim(request_for("plan"))
    shared.faults.lose_next_answers = 2
    entries[0].record_result(claim, large)
    assert entries[1].try_claim(request_for("plan")).chunks == large.chunks


def test_expired_record_is_swept_with_its_parts(
    entries: list[IdempotencyStore], shared: MemoryPlatform, event_clock: EventClock
) -> None:
    claim = entries[0].try_claim(request_for("plan"))
    large = CompleteAnswer((Random(1).randbytes(PART_BYTES + 1),), Finished("", 1))
    entries[0].record_result(claim, large)
    sweeper = IdempotencySweeper(MarkedStore(shared, event_clock), event_clock, lambda: EXPIRY_MS)
    assert sweeper.step() == 0
    event_clock.sleep_ms(EXPIRY_MS + LAPSE_MS)
    assert isinstance(entries[1].try_claim(request_for("plan", "other")), Claim)
    event_clock.sleep_ms(EXPIRY_MS + LAPSE_MS)
    assert sweeper.step() == 1
    assert shared.list_keys("once") == []
