"""Runs online requests, those with an idempotency key under their record.

A request with a key goes on when its caller disconnects: the caller is expected to send it again
and then gets the result. The end of a streamed answer is held back until the result is recorded,
so what a caller takes for the complete answer is the one result.
"""

from collections.abc import Callable, Iterator

from msgspec.structs import replace

from ebonyshore.entry.idempotency import Claim, IdempotencyStore, IdempotentRequest
from ebonyshore.entry.idempotency_records import CompleteAnswer
from ebonyshore.entry.online import OnlineService, never_disconnected
from ebonyshore.entry.online_attempt import OnlineRequest
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import RefusedError
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.result_codes import Execution, ResultCode
from ebonyshore.link.messages import Chunk, Finished

MAX_WAIT_RATIO = 3.0


class IdempotencyService:
    """Puts the idempotency record around :class:`OnlineService`."""

    def __init__(
        self, online: OnlineService, store: IdempotencyStore, clock: Clock, metrics: Metrics
    ) -> None:
        self._online = online
        self._store = store
        self._clock = clock
        self._metrics = metrics

    def run(
        self, request: OnlineRequest, is_caller_gone: Callable[[], bool] = never_disconnected
    ) -> Iterator[Chunk | Finished]:
        """Yield the answer as :meth:`OnlineService.run` does."""
        if not request.idempotency_key:
            yield from self._online.run(request, is_caller_gone)
            return
        result = self._claim(request, is_caller_gone)
        if isinstance(result, CompleteAnswer):
            self._metrics.count("once_replayed")
            yield from result.messages()
            return
        yield from self._run_claimed(replace(request, deadline_ms=result.deadline_ms), result)

    def _claim(
        self, request: OnlineRequest, is_caller_gone: Callable[[], bool]
    ) -> Claim | CompleteAnswer:
        left_ms = request.deadline_ms - self._clock.monotonic_ms()
        # A deadline that the caller did not name is that of a run, so waiting does not use it up.
        wait_ms = left_ms if request.has_caller_deadline else left_ms * MAX_WAIT_RATIO
        once_request = IdempotentRequest(
            request.caller,
            request.idempotency_key,
            request.content_digest,
            request.is_repeatable,
            left_ms,
        )
        end_ms = self._clock.monotonic_ms() + wait_ms
        result = self._store.claim(once_request, end_ms, is_caller_gone)
        if isinstance(result, Claim) and request.has_caller_deadline:
            return replace(result, deadline_ms=min(result.deadline_ms, request.deadline_ms))
        return result

    def _run_claimed(self, request: OnlineRequest, claim: Claim) -> Iterator[Chunk | Finished]:
        messages = self._online.run(request)
        chunks: list[bytes] = []
        try:
            for message in messages:
                if isinstance(message, Chunk):
                    chunks.append(message.data)
                    if request.streams_to_caller:
                        yield message
                else:
                    yield from self._finish(request, claim, chunks, message)
        except RefusedError as error:
            self._store.record_failure(claim, error)
            raise _with_earlier_tries(error, claim) from error
        except GeneratorExit:
            self._finish_alone(claim, chunks, messages)
            raise

    def _finish(
        self, request: OnlineRequest, claim: Claim, chunks: list[bytes], finished: Finished
    ) -> Iterator[Chunk | Finished]:
        own = CompleteAnswer(tuple(chunks), finished)
        result = self._store.record_result(claim, own)
        if result is own:
            yield from [finished] if request.streams_to_caller else own.messages()
        elif request.streams_to_caller:
            raise RefusedError(
                "another try under this key completed first; send the request again",
                code=ResultCode.STREAM_BROKEN,
                execution=Execution.RUN,
                retry_after_ms=1,
            )
        else:
            yield from result.messages()

    def _finish_alone(
        self, claim: Claim, chunks: list[bytes], messages: Iterator[Chunk | Finished]
    ) -> None:
        """Bring a request to its end whose caller is gone."""
        try:
            for message in messages:
                if isinstance(message, Chunk):
                    chunks.append(message.data)
                else:
                    self._store.record_result(claim, CompleteAnswer(tuple(chunks), message))
        except RefusedError as error:
            self._store.record_failure(claim, error)


def _with_earlier_tries(error: RefusedError, claim: Claim) -> RefusedError:
    """Return the error; it does not say ``not_run`` if an earlier try may have run."""
    earlier = claim.record.body.execution
    if error.execution is not Execution.NOT_RUN or earlier is Execution.NOT_RUN:
        return error
    return RefusedError(
        error.detail, code=error.code, execution=earlier, retry_after_ms=error.retry_after_ms
    )
