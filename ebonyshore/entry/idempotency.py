"""Idempotency: one result for all tries under one key, at whichever entry they arrive.

Calls to the object store: a first try makes 2 writes (the claim and the result); a try that finds
the result 1 write that conflicts and 1 read; a try that waits one watch more for each
:data:`WATCH_MS`; a result larger than one object one write, and later one read, for each part.
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

TAKEOVER_MARGIN_MS = 1_000.0
WATCH_MS = 5_000.0
FINISH_PAUSE_MS = 100.0
RETRY_AFTER_MS = 1_000
MAX_OBSERVED = 10_000
MAX_RACES = 20


class IdempotentRequest(Struct, frozen=True):
    """A try.

    :param deadline_left_ms: time that the try has if it gets to run.
    """

    caller: str
    key: str
    content_digest: str
    is_repeatable: bool
    deadline_left_ms: float


class Claim(Struct, frozen=True):
    """The right to run the request.

    :param deadline_ms: monotonic time up to which it holds; others count from a later time.
    """

    record: MarkedObject[IdempotencyRecord]
    deadline_ms: float


class PendingClaim(Struct, frozen=True):
    """Another try is running.

    :param version: the record's version, to watch from.
    :param wait_ms: time after which the other try counts as lost, if the record stays unchanged.
    """

    key: str
    version: int
    wait_ms: float


class _Observed(Struct, frozen=True):
    version: int
    seen_ms: float


class IdempotencyStore:
    """Reads and writes the records; safe to use from any thread.

    :param expiry_ms: returns how long a record is kept.
    """

    def __init__(self, store: MarkedStore, clock: Clock, expiry_ms: Callable[[], float]) -> None:
        self._store = store
        self._clock = clock
        self._expiry_ms = expiry_ms
        self._lock = Lock()
        self._observed: OrderedDict[str, _Observed] = OrderedDict()
        self._abandoned: OrderedDict[str, Execution] = OrderedDict()

    def claim(
        self, request: IdempotentRequest, end_ms: float, is_caller_gone: Callable[[], bool]
    ) -> Claim | CompleteAnswer:
        """Claim the key, or wait for the answer of the try that has it.

        :param end_ms: how long to wait.
        :raises RefusedError: if it must not run, or no answer came in time.
        """
        while True:
            result = self.try_claim(request)
            if not isinstance(result, PendingClaim):
                return result
            left_ms = end_ms - self._clock.monotonic_ms()
            if left_ms <= 0 or is_caller_gone():
                raise _refuse(ResultCode.DEADLINE_EXCEEDED, "an earlier try is still running")
            self._wait(result, min(left_ms, result.wait_ms, WATCH_MS))

    def try_claim(self, request: IdempotentRequest) -> Claim | CompleteAnswer | PendingClaim:
        """Claim the key without waiting for another try.

        :raises RequestError: if the key was used with other content.
        :raises RefusedError: if the request must not run again, or the store does not answer.
        """
        try:
            return self._try_claim(request)
        except StoreError as error:
            raise _refuse(ResultCode.STORE_UNAVAILABLE, error.detail) from error

    def record_result(self, claim: Claim, answer: CompleteAnswer) -> CompleteAnswer:
        """Record the result; an outage is waited out until the claim's deadline.

        :return: the one result, which is another try's if that one was faster.
        :raises RefusedError: the request ran, but the result could not be recorded.
        """
        while True:
            try:
                return self._finish(claim, answer)
            except StoreError as error:
                if self._clock.monotonic_ms() >= claim.deadline_ms:
                    raise _refuse(error.code, error.detail, Execution.RUN) from error
            self._clock.sleep_ms(FINISH_PAUSE_MS)

    def record_failure(self, claim: Claim, error: RefusedError) -> None:
        """Record that the try ended without a result; if that fails, others wait and take over."""
        body = claim.record.body
        may_run_again = body.is_repeatable or error.execution is Execution.NOT_RUN
        state = IdempotencyState.RELEASED if may_run_again else IdempotencyState.CLOSED
        execution = body.execution if error.execution is Execution.NOT_RUN else error.execution
        if may_run_again:
            self._abandon(body.claim_id, execution)
        ended = replace(body, state=state, code=error.code, execution=execution)
        try:
            self._store.replace(claim.record, ended)
        except StoreError:
            return

    def _try_claim(self, request: IdempotentRequest) -> Claim | CompleteAnswer | PendingClaim:
        key = record_key(request.caller, request.key)
        for race in range(MAX_RACES):
            now_ms = self._clock.monotonic_ms()
            try:
                if race == 0 and key not in self._observed:
                    return self._create(key, request, now_ms)
                current = self._store.read(key, IdempotencyRecord)
                if current is None:
                    return self._create(key, request, now_ms)
                return self._judge(current, request)
            except WriteConflictError:
                continue
        raise _refuse(ResultCode.WRITE_CONFLICT, "other tries keep changing the record")

    def _create(self, key: str, request: IdempotentRequest, now_ms: float) -> Claim:
        body = self._new_body(request, 1, Execution.NOT_RUN)
        return self._write_claim(MarkedObject(key, 0, 0, (), body), body, now_ms)

    def _judge(
        self, current: MarkedObject[IdempotencyRecord], request: IdempotentRequest
    ) -> Claim | CompleteAnswer | PendingClaim:
        body = current.body
        now_ms = self._clock.monotonic_ms()
        if self._has_expired(body):
            return self._take_over(current, request, now_ms, Execution.NOT_RUN)
        if body.content_digest != request.content_digest:
            raise RequestError(code=ResultCode.IDEMPOTENCY_MISMATCH)
        if body.state is IdempotencyState.DONE:
            return self._read_answer(current)
        if body.state is IdempotencyState.CLOSED:
            raise RefusedError(code=ResultCode.OUTCOME_UNKNOWN)
        if body.state is IdempotencyState.RELEASED:
            return self._take_over(current, request, now_ms, body.execution)
        abandoned = self._abandoned.get(body.claim_id)
        if abandoned is not None:
            return self._take_over(current, request, now_ms, abandoned)
        wait_ms = self._observe(current, now_ms)
        if wait_ms > 0:
            return PendingClaim(current.key, current.version, wait_ms)
        if body.is_repeatable and request.is_repeatable:
            return self._take_over(current, request, now_ms, Execution.MAYBE_RUN)
        self._store.replace(current, replace(body, state=IdempotencyState.CLOSED))
        raise RefusedError(code=ResultCode.OUTCOME_UNKNOWN)

    def _take_over(
        self,
        current: MarkedObject[IdempotencyRecord],
        request: IdempotentRequest,
        now_ms: float,
        execution: Execution,
    ) -> Claim:
        body = self._new_body(request, current.body.epoch + 1, execution)
        return self._write_claim(current, body, now_ms)

    def _write_claim(
        self, previous: MarkedObject[IdempotencyRecord], body: IdempotencyRecord, now_ms: float
    ) -> Claim:
        """Write the claim; ``now_ms`` was read before, so its deadline is not too late."""
        try:
            record = self._store.replace(previous, body)
        except WriteOutcomeUnknownError:
            # Nothing was dispatched under this claim, so whoever meets it here may take over.
            self._abandon(body.claim_id, body.execution)
            raise
        return Claim(record, now_ms + body.deadline_left_ms)

    def _new_body(
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

    def _observe(self, current: MarkedObject[IdempotencyRecord], now_ms: float) -> float:
        """Return how long the version must stay unchanged yet until its try counts as lost."""
        with self._lock:
            observed = self._observed.get(current.key)
            if observed is None or observed.version != current.version:
                observed = _Observed(current.version, now_ms)
                self._observed[current.key] = observed
            while len(self._observed) > MAX_OBSERVED:
                self._observed.popitem(last=False)
        lapse_ms = current.body.deadline_left_ms + TAKEOVER_MARGIN_MS
        return observed.seen_ms + lapse_ms - now_ms

    def _abandon(self, claim_id: str, execution: Execution) -> None:
        with self._lock:
            self._abandoned[claim_id] = execution
            while len(self._abandoned) > MAX_OBSERVED:
                self._abandoned.popitem(last=False)

    def _wait(self, pending: PendingClaim, timeout_ms: float) -> None:
        try:
            self._store.store.watch(pending.key, pending.version, int(timeout_ms) + 1)
        except StoreError:
            self._clock.sleep_ms(min(timeout_ms, RETRY_AFTER_MS))

    def _finish(self, claim: Claim, answer: CompleteAnswer) -> CompleteAnswer:
        previous = claim.record
        finished = answer.finished
        kept = StoredAnswer(finished.http_status, finished.content_type, finished.usage)
        parts = pack_answer(answer)
        if len(parts) == 1:
            kept = replace(kept, data=parts[0])
        else:
            self._write_parts(previous, parts)
            kept = replace(kept, part_count=len(parts))
        done = replace(previous.body, state=IdempotencyState.DONE, answer=kept)
        try:
            self._store.replace(previous, done)
        except WriteConflictError:
            return self._read_other_result(previous, answer)
        return answer

    def _write_parts(self, record: MarkedObject[IdempotencyRecord], parts: list[bytes]) -> None:
        for number, data in enumerate(parts):
            key = part_key(record.key, record.body.claim_id, number)
            try:
                self._store.create(key, AnswerPart(data))
            except WriteConflictError:
                # Only this try writes the key: an earlier attempt of it took effect.
                continue

    def _read_other_result(
        self, previous: MarkedObject[IdempotencyRecord], answer: CompleteAnswer
    ) -> CompleteAnswer:
        current = self._store.read(previous.key, IdempotencyRecord)
        if current is None or current.body.state is not IdempotencyState.DONE:
            raise _refuse(ResultCode.OUTCOME_UNKNOWN, "another try took over", Execution.RUN)
        if current.body.claim_id == previous.body.claim_id:
            return answer
        return self._read_answer(current)

    def _read_answer(self, record: MarkedObject[IdempotencyRecord]) -> CompleteAnswer:
        kept = record.body.answer
        if not kept.part_count:
            return unpack_answer(kept, [kept.data])
        parts = []
        for number in range(kept.part_count):
            part = self._store.read(part_key(record.key, record.body.claim_id, number), AnswerPart)
            if part is None:
                raise _refuse(ResultCode.STORE_UNAVAILABLE, "a part of the result is missing")
            parts.append(part.body.data)
        return unpack_answer(kept, parts)


def _refuse(
    code: ResultCode, detail: str, execution: Execution = Execution.MAYBE_RUN
) -> RefusedError:
    """Return a refusal; sending the request again under its key is always safe."""
    return RefusedError(detail, code=code, execution=execution, retry_after_ms=RETRY_AFTER_MS)
