"""Runs online requests; those with an idempotency key are claimed and recorded in the store.

A request with a key continues when its caller disconnects, because the caller is expected to submit
it again and then gets the result. The final message of a streamed answer is withheld until the
result is stored, so an answer that a caller sees as complete is always the stored result.
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

# Longest wait for another submission, as a multiple of the time left until a default deadline.
DEFAULT_DEADLINE_WAIT_RATIO = 3.0


class IdempotencyService:
    """Runs requests with :class:`OnlineService` and makes those with a key idempotent."""

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
        """Yield the chunks of the answer, then ``Finished``.

        :param is_caller_gone: returns whether the caller has disconnected. A request with a key
            then stops waiting for another submission; a run that has started is completed.
        :raises RequestError: if the key was used with other content.
        :raises RefusedError: if the request was refused or failed; ``execution`` tells whether it
            ran.
        """
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
        # A default deadline, not set by the caller, limits the run only: a submission may wait
        # longer than that for another one.
        wait_ms = left_ms if request.has_caller_deadline else left_ms * DEFAULT_DEADLINE_WAIT_RATIO
        idempotent_request = IdempotentRequest(
            request.caller,
            request.idempotency_key,
            request.content_digest,
            request.is_repeatable,
            left_ms,
        )
        end_ms = self._clock.monotonic_ms() + wait_ms
        result = self._store.claim(idempotent_request, end_ms, is_caller_gone)
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
            raise _with_earlier_execution(error, claim) from error
        except GeneratorExit:
            self._finish_without_caller(claim, chunks, messages)
            raise

    def _finish(
        self, request: OnlineRequest, claim: Claim, chunks: list[bytes], finished: Finished
    ) -> Iterator[Chunk | Finished]:
        """Store the answer, then yield what the caller has not received of it.

        :raises RefusedError: if the answer could not be stored, or the caller has received chunks
            of an answer that is not the stored one.
        """
        own_answer = CompleteAnswer(tuple(chunks), finished)
        result = self._store.record_result(claim, own_answer)
        if result is own_answer:
            yield from [finished] if request.streams_to_caller else own_answer.messages()
        elif request.streams_to_caller:
            raise RefusedError(
                "another request under this key completed first; submit the request again",
                code=ResultCode.STREAM_BROKEN,
                execution=Execution.RUN,
                retry_after_ms=1,  # the result is stored, so a retry gets it at once
            )
        else:
            yield from result.messages()

    def _finish_without_caller(
        self, claim: Claim, chunks: list[bytes], messages: Iterator[Chunk | Finished]
    ) -> None:
        """Complete and record a request whose caller has disconnected."""
        try:
            for message in messages:
                if isinstance(message, Chunk):
                    chunks.append(message.data)
                else:
                    self._store.record_result(claim, CompleteAnswer(tuple(chunks), message))
        except RefusedError as error:
            self._store.record_failure(claim, error)


def _with_earlier_execution(error: RefusedError, claim: Claim) -> RefusedError:
    """Return the error, with the execution of earlier submissions if this one did not run."""
    earlier = claim.record.body.execution
    if error.execution is not Execution.NOT_RUN or earlier is Execution.NOT_RUN:
        return error
    return RefusedError(
        error.detail, code=error.code, execution=earlier, retry_after_ms=error.retry_after_ms
    )
