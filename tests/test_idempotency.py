"""Idempotency records: all submissions under one key get the same result."""

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
TAKEOVER_MS = 2_100.0  # longer than DEADLINE_MS and TAKEOVER_MARGIN_MS together
EXPIRY_MS = 3_600_000.0
IS_REPEATABLE_BY_KEY = {"plan": True, "label": False}


class ProcessCrash(BaseException):
    """Simulates a crash of the entry's process during a store call."""


class CrashingStore:
    """An object store that raises :class:`ProcessCrash` at a chosen write.

    ``writes_before_crash`` is the number of writes until then, ``None`` for no crash.
    ``does_crash_after_write`` tells whether that write takes effect.
    """

    def __init__(self, platform: MemoryPlatform) -> None:
        self._platform = platform
        self.writes_before_crash: int | None = None
        self.does_crash_after_write = False

    def __getattr__(self, name: str) -> object:
        return getattr(self._platform, name)

    def put(self, key: str, value: bytes, expected_version: int) -> int:
        if self.writes_before_crash is None:
            return self._platform.put(key, value, expected_version)
        self.writes_before_crash -= 1
        if self.writes_before_crash >= 0:
            return self._platform.put(key, value, expected_version)
        if self.does_crash_after_write:
            self._platform.put(key, value, expected_version)
        raise ProcessCrash


class SimulatedEntry:
    """An entry's idempotency store, over an object store that may crash."""

    def __init__(self, platform: MemoryPlatform, clock: EventClock) -> None:
        self.crashing_store = CrashingStore(platform)
        self.store = IdempotencyStore(
            MarkedStore(self.crashing_store, clock), clock, lambda: EXPIRY_MS
        )


def request_for(key: str, content: str = "content") -> IdempotentRequest:
    return IdempotentRequest(
        "caller", key, content, IS_REPEATABLE_BY_KEY.get(key, True), DEADLINE_MS
    )


def answer_of(text: str) -> CompleteAnswer:
    return CompleteAnswer((text.encode(),), Finished("", 1))


class IdempotencyMachine(RuleBasedStateMachine):
    """Two entries that submit requests under one key, with crashes, delays and store outages.

    A submission may stop at any point and continue after its claim has timed out.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = EventClock(1_000.0)
        self.platform = MemoryPlatform(self.clock)
        self.entries = [SimulatedEntry(self.platform, self.clock) for _ in range(2)]
        self.open_claims: list[tuple[int, str, Claim]] = []
        self.answers_by_claim: dict[str, str] = {}
        self.run_counts = dict.fromkeys(IS_REPEATABLE_BY_KEY, 0)
        self.results: dict[str, set[tuple[bytes, ...]]] = {
            key: set() for key in IS_REPEATABLE_BY_KEY
        }
        self.closed_keys: dict[str, int] = {}

    @initialize(key=st.sampled_from(sorted(IS_REPEATABLE_BY_KEY)))
    def choose_key(self, key: str) -> None:
        self.key = key

    @rule(
        entry=st.integers(0, 1),
        pause_ms=st.sampled_from([0.0, 0.0, 300.0, TAKEOVER_MS]),
        runs=st.booleans(),
        crash=st.integers(0, 9),
    )
    def submit(self, entry: int, pause_ms: float, runs: bool, crash: int) -> None:
        self.clock.sleep_ms(pause_ms)
        key = self.key
        try:
            result = self._store_that_may_crash(entry, crash).try_claim(request_for(key))
        except ProcessCrash:
            self._restart(entry)
        except RefusedError as error:
            self._check_refusal(key, error)
        else:
            if isinstance(result, Claim):
                self.open_claims.append((entry, key, result))
                if runs:
                    self._run(key, result)
            elif not isinstance(result, PendingClaim):
                self.results[key].add(result.chunks)
        self._disable_crash(entry)

    @precondition(lambda self: self.open_claims)
    @rule(data=st.data())
    def run(self, data: st.DataObject) -> None:
        _, key, claim = data.draw(st.sampled_from(self.open_claims))
        self._run(key, claim)

    def _run(self, key: str, claim: Claim) -> None:
        claim_id = claim.record.body.claim_id
        is_late = self.clock.monotonic_ms() >= claim.deadline_ms
        if not is_late and claim_id not in self.answers_by_claim:
            assert key not in self.closed_keys, "a request ran after its key was closed"
            self.run_counts[key] += 1
            self.answers_by_claim[claim_id] = f"{key} run {self.run_counts[key]}"

    @precondition(lambda self: self.open_claims)
    @rule(data=st.data(), crash=st.integers(0, 9))
    def finish_claim(self, data: st.DataObject, crash: int) -> None:
        number = data.draw(st.integers(0, len(self.open_claims) - 1))
        entry, key, claim = self.open_claims.pop(number)
        text = self.answers_by_claim.get(claim.record.body.claim_id)
        try:
            store = self._store_that_may_crash(entry, crash)
            if text is None:
                store.record_failure(claim, RefusedError(execution=Execution.NOT_RUN))
            else:
                self.results[key].add(store.record_result(claim, answer_of(text)).chunks)
        except ProcessCrash:
            self._restart(entry)
        except RefusedError as error:
            assert error.execution is not Execution.NOT_RUN
            store.record_failure(claim, error)
        self._disable_crash(entry)

    @precondition(lambda self: self.open_claims)
    @rule(data=st.data())
    def fail_claim(self, data: st.DataObject) -> None:
        number = data.draw(st.integers(0, len(self.open_claims) - 1))
        entry, _, claim = self.open_claims.pop(number)
        has_run = claim.record.body.claim_id in self.answers_by_claim
        execution = Execution.MAYBE_RUN if has_run else Execution.NOT_RUN
        self.entries[entry].store.record_failure(claim, RefusedError(execution=execution))

    @rule(entry=st.integers(0, 1))
    def crash(self, entry: int) -> None:
        self._restart(entry)

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count: int) -> None:
        self.platform.faults.lose_next_answers = count

    @rule(duration_ms=st.sampled_from([200.0, 7_000.0]))
    def stop_store(self, duration_ms: float) -> None:
        self.platform.set_faults(PlatformFaults(is_down=True))
        self.clock.call_later(duration_ms, lambda: self.platform.set_faults(PlatformFaults()))

    @invariant()
    def each_key_has_one_result(self) -> None:
        assert all(len(results) <= 1 for results in self.results.values())
        assert self.run_counts["label"] <= 1

    def _store_that_may_crash(self, entry: int, crash: int) -> IdempotencyStore:
        """Return an entry's store; with ``crash`` 0 or 1 it crashes before or after a write."""
        crashing_store = self.entries[entry].crashing_store
        crashing_store.writes_before_crash = 0 if crash < 2 else None
        crashing_store.does_crash_after_write = crash == 1
        return self.entries[entry].store

    def _disable_crash(self, entry: int) -> None:
        self.entries[entry].crashing_store.writes_before_crash = None

    def _restart(self, entry: int) -> None:
        self.entries[entry] = SimulatedEntry(self.platform, self.clock)
        self.open_claims = [each for each in self.open_claims if each[0] != entry]

    def _check_refusal(self, key: str, error: RefusedError) -> None:
        assert error.execution is Execution.MAYBE_RUN
        if error.code is ResultCode.OUTCOME_UNKNOWN:
            assert not IS_REPEATABLE_BY_KEY[key]
            self.closed_keys[key] = self.run_counts[key]


IdempotencyMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestIdempotencyMachine = IdempotencyMachine.TestCase


@pytest.fixture
def event_clock() -> EventClock:
    return EventClock(1_000.0)


@pytest.fixture
def shared_platform(event_clock: EventClock) -> MemoryPlatform:
    return MemoryPlatform(event_clock)


@pytest.fixture
def entries(shared_platform: MemoryPlatform, event_clock: EventClock) -> list[IdempotencyStore]:
    return [SimulatedEntry(shared_platform, event_clock).store for _ in range(2)]


def test_store_calls_per_request(
    entries: list[IdempotencyStore], shared_platform: MemoryPlatform
) -> None:
    """Guards against more store calls for each request than docs/design.md states."""
    claim = entries[0].try_claim(request_for("plan"))
    entries[0].record_result(claim, answer_of("text"))
    assert dict(shared_platform.calls) == {"put": 2}
    shared_platform.calls.clear()
    entries[1].try_claim(request_for("plan"))
    assert dict(shared_platform.calls) == {"put": 1, "get": 1}


def test_second_submission_waits_for_the_first(
    entries: list[IdempotencyStore], shared_platform: MemoryPlatform, event_clock: EventClock
) -> None:
    claim = entries[0].try_claim(request_for("plan"))
    event_clock.call_later(300, lambda: entries[0].record_result(claim, answer_of("text")))
    result = entries[1].claim(request_for("plan"), event_clock.monotonic_ms() + 900, lambda: False)
    assert result.chunks == (b"text",)
    assert shared_platform.calls["watch"] == 1


def test_other_content_under_the_same_key_is_an_error(entries: list[IdempotencyStore]) -> None:
    entries[0].try_claim(request_for("plan"))
    with pytest.raises(RequestError) as refusal:
        entries[1].try_claim(request_for("plan", "other"))
    assert refusal.value.code is ResultCode.IDEMPOTENCY_MISMATCH


def test_refusal_in_a_store_outage_does_not_say_not_run(
    entries: list[IdempotencyStore], shared_platform: MemoryPlatform
) -> None:
    shared_platform.set_faults(PlatformFaults(is_down=True))
    with pytest.raises(RefusedError) as refusal:
        entries[0].try_claim(request_for("plan"))
    assert refusal.value.execution is Execution.MAYBE_RUN
    assert refusal.value.retry_after_ms


@pytest.mark.parametrize("key", IS_REPEATABLE_BY_KEY)
def test_lost_claim_is_taken_over_or_closed(
    key: str, entries: list[IdempotencyStore], event_clock: EventClock
) -> None:
    """Guards against a lost entry that blocks a key, or that lets a no-repeat request run twice."""
    entries[0].try_claim(request_for(key))
    end_ms = event_clock.monotonic_ms() + 3 * DEADLINE_MS
    if IS_REPEATABLE_BY_KEY[key]:
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


@pytest.mark.parametrize("key", IS_REPEATABLE_BY_KEY)
def test_no_claim_is_taken_over_before_its_deadline(
    key: str, entries: list[IdempotencyStore], event_clock: EventClock
) -> None:
    """Guards against a second run, or a closed record, while the first submission still runs."""
    claim = entries[0].try_claim(request_for(key))
    assert isinstance(entries[1].try_claim(request_for(key)), PendingClaim)
    event_clock.sleep_ms(claim.deadline_ms - event_clock.monotonic_ms())
    assert isinstance(entries[1].try_claim(request_for(key)), PendingClaim)


@pytest.mark.parametrize("does_frozen_finish_first", [True, False])
def test_entry_that_resumes_after_a_freeze_gives_no_second_result(
    does_frozen_finish_first: bool, entries: list[IdempotencyStore], event_clock: EventClock
) -> None:
    """Guards against two different answers under one key.

    An entry freezes during its run, another one takes over, and the first one continues.
    """
    frozen = entries[0].try_claim(request_for("plan"))
    end_ms = event_clock.monotonic_ms() + 3 * DEADLINE_MS
    taken = entries[1].claim(request_for("plan"), end_ms, lambda: False)
    if does_frozen_finish_first:
        with pytest.raises(RefusedError) as refusal:
            entries[0].record_result(frozen, answer_of("one"))
        assert refusal.value.execution is Execution.RUN
        entries[0].record_failure(frozen, refusal.value)
    assert entries[1].record_result(taken, answer_of("two")).chunks == (b"two",)
    if not does_frozen_finish_first:
        assert entries[0].record_result(frozen, answer_of("one")).chunks == (b"two",)


def test_result_larger_than_one_object(
    entries: list[IdempotencyStore], shared_platform: MemoryPlatform
) -> None:
    """Guards against a result too large to store, whose request would run at each submission."""
    large = CompleteAnswer((Random(1).randbytes(2 * PART_BYTES),), Finished("", 1))
    claim = entries[0].try_claim(request_for("plan"))
    shared_platform.faults.lose_next_answers = 2
    entries[0].record_result(claim, large)
    assert entries[1].try_claim(request_for("plan")).chunks == large.chunks


def test_expired_record_is_deleted_with_its_parts(
    entries: list[IdempotencyStore], shared_platform: MemoryPlatform, event_clock: EventClock
) -> None:
    claim = entries[0].try_claim(request_for("plan"))
    large = CompleteAnswer((Random(1).randbytes(PART_BYTES + 1),), Finished("", 1))
    entries[0].record_result(claim, large)
    sweeper = IdempotencySweeper(
        MarkedStore(shared_platform, event_clock), event_clock, lambda: EXPIRY_MS
    )
    assert sweeper.step() == 0
    event_clock.sleep_ms(EXPIRY_MS + TAKEOVER_MS)
    assert isinstance(entries[1].try_claim(request_for("plan", "other")), Claim)
    event_clock.sleep_ms(EXPIRY_MS + TAKEOVER_MS)
    assert sweeper.step() == 1
    assert shared_platform.list_keys("once") == []
