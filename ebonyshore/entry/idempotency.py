"""Idempotency keys: all submissions of a request under one key get the same result, at any entry.

A submission claims the key with a record in the object store, runs the request and stores the
result in the record; later submissions get the stored result or wait for it.

Calls to the object store: a first submission makes 2 writes (the claim and the result). One that
finds the result makes 1 write, which conflicts, and 1 read. One that waits makes 1 additional watch
call for each :data:`WATCH_TIMEOUT_MS`. A result too large for one object takes 1 write, and later 1
read, for each part.
"""

from collections import OrderedDict
from collections.abc import Callable
from threading import Lock
from uuid import uuid4

from msgspec import Struct
from msgspec.structs import replace

from ebonyshore.entry.idempotency_records import (
    AnswerPart,
    CompleteAnswer,
    IdempotencyRecord,
    IdempotencyState,
    StoredAnswer,
    pack_answer,
    part_key,
    record_key,
    unpack_answer,
)
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import (
    RefusedError,
    RequestError,
    StoreError,
    WriteConflictError,
    WriteOutcomeUnknownError,
)
from ebonyshore.frame.result_codes import Execution, ResultCode
from ebonyshore.store.marked_write import MarkedObject, MarkedStore

TAKEOVER_MARGIN_MS = 1_000.0  # after the claim's deadline, before another submission takes over
WATCH_TIMEOUT_MS = 5_000.0
RESULT_RETRY_INTERVAL_MS = 100.0
RETRY_AFTER_MS = 1_000
MAX_TRACKED_RECORDS = 10_000  # observed versions; the same number of abandoned claims
MAX_CLAIM_ATTEMPTS = 20


class IdempotentRequest(Struct, frozen=True):
    """A submission of a request under an idempotency key.

    :param content_digest: digest of the request's content, which must not change under one key.
    :param is_repeatable: whether the request may run more than once.
    :param deadline_left_ms: time that the request has for its run.
    """

    caller: str
    key: str
    content_digest: str
    is_repeatable: bool
    deadline_left_ms: float


class Claim(Struct, frozen=True):
    """The exclusive right to run the request.

    :param record: the record as written by the claim.
    :param deadline_ms: monotonic time at which the claim ends. Other entries start their timeout
        when they first see the record, so they take over later than this.
    """

    record: MarkedObject[IdempotencyRecord]
    deadline_ms: float


class PendingClaim(Struct, frozen=True):
    """The key is claimed by another submission that may still be running.

    :param key: object key of the record.
    :param version: version of the record, to watch from.
    :param wait_ms: time after which the other submission is considered lost if the record does not
        change.
    """

    key: str
    version: int
    wait_ms: float


class _ObservedVersion(Struct, frozen=True):
    """The version of a record and the monotonic time at which it was first seen."""

    version: int
    seen_ms: float


class IdempotencyStore:
    """Claims idempotency keys and stores results; thread-safe.

    :param expiry_ms: returns the time that a record is kept, in milliseconds.
    """

    def __init__(self, store: MarkedStore, clock: Clock, expiry_ms: Callable[[], float]) -> None:
        self._store = store
        self._clock = clock
        self._expiry_ms = expiry_ms
        self._lock = Lock()
        self._observed: OrderedDict[str, _ObservedVersion] = OrderedDict()
        self._abandoned_claims: OrderedDict[str, Execution] = OrderedDict()

    def claim(
        self, request: IdempotentRequest, end_ms: float, is_caller_gone: Callable[[], bool]
    ) -> Claim | CompleteAnswer:
        """Claim the key, or wait for the result of the submission that holds it.

        :param end_ms: monotonic time until which to wait.
        :param is_caller_gone: returns whether the caller has disconnected, which ends the wait.
        :return: a claim to run the request, or the stored answer.
        :raises RequestError: if the key was used with other content.
        :raises RefusedError: if the request must not run again, the store does not answer, or the
            other submission did not end in time.
        """
        while True:
            result = self.try_claim(request)
            if not isinstance(result, PendingClaim):
                return result
            left_ms = end_ms - self._clock.monotonic_ms()
            if left_ms <= 0 or is_caller_gone():
                raise _refusal(
                    ResultCode.DEADLINE_EXCEEDED, "an earlier request under this key still runs"
                )
            self._wait_for_change(result, min(left_ms, result.wait_ms, WATCH_TIMEOUT_MS))

    def try_claim(self, request: IdempotentRequest) -> Claim | CompleteAnswer | PendingClaim:
        """Claim the key without waiting for another submission.

        :return: a claim to run the request, the stored answer, or the pending claim of another
            submission.
        :raises RequestError: if the key was used with other content.
        :raises RefusedError: if the request must not run again, or the store does not answer.
        """
        try:
            return self._try_claim(request)
        except StoreError as error:
            raise _refusal(ResultCode.STORE_UNAVAILABLE, error.detail) from error

    def record_result(self, claim: Claim, answer: CompleteAnswer) -> CompleteAnswer:
        """Store the result; while the store is unavailable, retry until the claim's deadline.

        :return: the result to give to the caller. It is that of another submission if that one took
            over and stored its result first.
        :raises RefusedError: with execution ``RUN`` if the result could not be stored.
        """
        while True:
            try:
                return self._try_record_result(claim, answer)
            except StoreError as error:
                if self._clock.monotonic_ms() >= claim.deadline_ms:
                    raise _refusal(error.code, error.detail, Execution.RUN) from error
            self._clock.sleep_ms(RESULT_RETRY_INTERVAL_MS)

    def record_failure(self, claim: Claim, error: RefusedError) -> None:
        """Record that the submission ended without a result.

        The key is released for another run if the request did not run or is repeatable, and closed
        otherwise. If the record cannot be written, other submissions wait until the claim times out
        and then take over, or close the key if the request must not be repeated.
        """
        body = claim.record.body
        may_run_again = body.is_repeatable or error.execution is Execution.NOT_RUN
        state = IdempotencyState.RELEASED if may_run_again else IdempotencyState.CLOSED
        execution = body.execution if error.execution is Execution.NOT_RUN else error.execution
        if may_run_again:
            self._mark_abandoned(body.claim_id, execution)
        ended_record = replace(body, state=state, code=error.code, execution=execution)
        try:
            self._store.replace(claim.record, ended_record)
        except StoreError:
            return

    def _try_claim(self, request: IdempotentRequest) -> Claim | CompleteAnswer | PendingClaim:
        key = record_key(request.caller, request.key)
        for attempt in range(MAX_CLAIM_ATTEMPTS):
            now_ms = self._clock.monotonic_ms()
            try:
                if attempt == 0 and key not in self._observed:
                    # Most keys are new, so the record is created without a read before.
                    return self._create(key, request, now_ms)
                current = self._store.read(key, IdempotencyRecord)
                if current is None:
                    return self._create(key, request, now_ms)
                return self._claim_existing(current, request)
            except WriteConflictError:
                continue
        raise _refusal(
            ResultCode.WRITE_CONFLICT,
            f"claiming the key conflicted with other requests {MAX_CLAIM_ATTEMPTS} times",
        )

    def _create(self, key: str, request: IdempotentRequest, now_ms: float) -> Claim:
        body = self._new_record(request, 1, Execution.NOT_RUN)
        return self._write_claim(MarkedObject(key, 0, 0, (), body), body, now_ms)

    def _claim_existing(
        self, current: MarkedObject[IdempotencyRecord], request: IdempotentRequest
    ) -> Claim | CompleteAnswer | PendingClaim:
        """Answer a submission from an existing record, or take over its claim.

        A lost claim of a request that must not be repeated is closed.

        :raises RequestError: if the key was used with other content.
        :raises RefusedError: if the request may have run and must not run again.
        """
        body = current.body
        now_ms = self._clock.monotonic_ms()
        if self._has_expired(body):
            return self._reclaim(current, request, now_ms, Execution.NOT_RUN)
        if body.content_digest != request.content_digest:
            raise RequestError(code=ResultCode.IDEMPOTENCY_MISMATCH)
        if body.state is IdempotencyState.DONE:
            return self._read_answer(current)
        if body.state is IdempotencyState.CLOSED:
            raise RefusedError(code=ResultCode.OUTCOME_UNKNOWN)
        if body.state is IdempotencyState.RELEASED:
            return self._reclaim(current, request, now_ms, body.execution)
        abandoned = self._abandoned_claims.get(body.claim_id)
        if abandoned is not None:
            return self._reclaim(current, request, now_ms, abandoned)
        wait_ms = self._time_until_lost_ms(current, now_ms)
        if wait_ms > 0:
            return PendingClaim(current.key, current.version, wait_ms)
        if body.is_repeatable and request.is_repeatable:
            return self._reclaim(current, request, now_ms, Execution.MAYBE_RUN)
        self._store.replace(current, replace(body, state=IdempotencyState.CLOSED))
        raise RefusedError(code=ResultCode.OUTCOME_UNKNOWN)

    def _reclaim(
        self,
        current: MarkedObject[IdempotencyRecord],
        request: IdempotentRequest,
        now_ms: float,
        execution: Execution,
    ) -> Claim:
        body = self._new_record(request, current.body.epoch + 1, execution)
        return self._write_claim(current, body, now_ms)

    def _write_claim(
        self, previous: MarkedObject[IdempotencyRecord], body: IdempotencyRecord, now_ms: float
    ) -> Claim:
        """Write the claim.

        :param now_ms: monotonic time before the write, so that the claim's deadline is not later
            than other entries assume.
        """
        try:
            record = self._store.replace(previous, body)
        except WriteOutcomeUnknownError:
            # If the write took effect, the record holds a claim under which nothing was dispatched.
            # Later submissions at this entry may take it over at once.
            self._mark_abandoned(body.claim_id, body.execution)
            raise
        return Claim(record, now_ms + body.deadline_left_ms)

    def _new_record(
        self, request: IdempotentRequest, epoch: int, execution: Execution
    ) -> IdempotencyRecord:
        return IdempotencyRecord(
            request.content_digest,
            IdempotencyState.CLAIMED,
            uuid4().hex,
            epoch,
            request.deadline_left_ms,
            request.is_repeatable,
            self._clock.wall_ms(),
            execution=execution,
        )

    def _has_expired(self, body: IdempotencyRecord) -> bool:
        age_ms = self._clock.wall_ms() - body.created_wall_ms
        return body.state is not IdempotencyState.CLAIMED and age_ms > self._expiry_ms()

    def _time_until_lost_ms(self, current: MarkedObject[IdempotencyRecord], now_ms: float) -> float:
        """Return the time until an unchanged claim is considered lost; 0 or less if it is now."""
        with self._lock:
            observed = self._observed.get(current.key)
            if observed is None or observed.version != current.version:
                observed = _ObservedVersion(current.version, now_ms)
                self._observed[current.key] = observed
            while len(self._observed) > MAX_TRACKED_RECORDS:
                self._observed.popitem(last=False)
        timeout_ms = current.body.deadline_left_ms + TAKEOVER_MARGIN_MS
        return observed.seen_ms + timeout_ms - now_ms

    def _mark_abandoned(self, claim_id: str, execution: Execution) -> None:
        """Remember a claim of this entry that is not in use, so that it can be reclaimed at once.

        :param execution: whether the request ran under this or an earlier claim.
        """
        with self._lock:
            self._abandoned_claims[claim_id] = execution
            while len(self._abandoned_claims) > MAX_TRACKED_RECORDS:
                self._abandoned_claims.popitem(last=False)

    def _wait_for_change(self, pending: PendingClaim, timeout_ms: float) -> None:
        """Wait until the record changes or the timeout ends."""
        try:
            self._store.store.watch(pending.key, pending.version, int(timeout_ms) + 1)
        except StoreError:
            self._clock.sleep_ms(min(timeout_ms, RETRY_AFTER_MS))

    def _try_record_result(self, claim: Claim, answer: CompleteAnswer) -> CompleteAnswer:
        previous = claim.record
        finished = answer.finished
        stored = StoredAnswer(finished.http_status, finished.content_type, finished.usage)
        parts = pack_answer(answer)
        if len(parts) == 1:
            stored = replace(stored, data=parts[0])
        else:
            self._write_parts(previous, parts)
            stored = replace(stored, part_count=len(parts))
        done_record = replace(previous.body, state=IdempotencyState.DONE, answer=stored)
        try:
            self._store.replace(previous, done_record)
        except WriteConflictError:
            return self._resolve_conflict(previous, answer)
        return answer

    def _write_parts(self, record: MarkedObject[IdempotencyRecord], parts: list[bytes]) -> None:
        for number, data in enumerate(parts):
            key = part_key(record.key, record.body.claim_id, number)
            try:
                self._store.create(key, AnswerPart(data))
            except WriteConflictError:
                # No other submission writes this key, so an earlier write of this one took effect.
                continue

    def _resolve_conflict(
        self, previous: MarkedObject[IdempotencyRecord], answer: CompleteAnswer
    ) -> CompleteAnswer:
        """Return the stored answer after the record was changed since the claim.

        :raises RefusedError: if another submission took over and has not stored a result.
        """
        current = self._store.read(previous.key, IdempotencyRecord)
        if current is None or current.body.state is not IdempotencyState.DONE:
            raise _refusal(
                ResultCode.OUTCOME_UNKNOWN,
                "another request under this key took over before the result was stored",
                Execution.RUN,
            )
        if current.body.claim_id == previous.body.claim_id:
            return answer
        return self._read_answer(current)

    def _read_answer(self, record: MarkedObject[IdempotencyRecord]) -> CompleteAnswer:
        stored = record.body.answer
        if not stored.part_count:
            return unpack_answer(stored, [stored.data])
        parts = []
        for number in range(stored.part_count):
            part = self._store.read(part_key(record.key, record.body.claim_id, number), AnswerPart)
            if part is None:
                raise _refusal(
                    ResultCode.STORE_UNAVAILABLE,
                    f"part {number + 1} of {stored.part_count} of the stored result is missing",
                )
            parts.append(part.body.data)
        return unpack_answer(stored, parts)


def _refusal(
    code: ResultCode, detail: str, execution: Execution = Execution.MAYBE_RUN
) -> RefusedError:
    """Return a refusal with a retry time; a retry under the same key is always safe."""
    return RefusedError(detail, code=code, execution=execution, retry_after_ms=RETRY_AFTER_MS)
