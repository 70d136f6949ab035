"""Requests with an idempotency key, run by the online service with scripted agents."""

import pytest

from ebonyshore.entry.idempotency import IdempotencyStore
from ebonyshore.entry.idempotency_service import IdempotencyService
from ebonyshore.frame.errors import RefusedError
from ebonyshore.frame.result_codes import Execution, ResultCode
from ebonyshore.link.messages import Dispatch, Finished
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore_standins.memory_platform import MemoryPlatform, PlatformFaults
from ebonyshore_standins.scripted_agents import TOKENS, ScriptedAgent, send_chunks
from tests.online_setup import OnlineSetup, text_of

COMPLETE_TEXT = "".join(TOKENS)


class IdempotencySetup(OnlineSetup):
    """The online service with an idempotency store in memory."""

    def __init__(self, *scripts: list) -> None:
        super().__init__(*scripts)
        self.platform = MemoryPlatform(self.clock)
        store = IdempotencyStore(
            MarkedStore(self.platform, self.clock), self.clock, lambda: 3_600_000
        )
        self.idempotency = IdempotencyService(self.service, store, self.clock, self.metrics)

    def run(self, **changes: object) -> list:
        return list(self.idempotency.run(self.request(idempotency_key="k", **changes)))


@pytest.mark.parametrize("streams_to_caller", [True, False])
def test_repeated_request_gets_the_same_stream_without_a_second_run(
    streams_to_caller: bool,
) -> None:
    setup = IdempotencySetup()
    first = setup.run(streams_to_caller=streams_to_caller)
    again = setup.run(streams_to_caller=streams_to_caller)
    assert [m.data for m in first[:-1]] == [m.data for m in again[:-1]]
    assert text_of(again) == COMPLETE_TEXT
    assert first[-1].usage == again[-1].usage
    assert setup.dispatch_count() == 1


def test_disconnected_caller_gets_the_result_with_a_second_request() -> None:
    """Guards against a caller that cancels its own request by disconnecting to submit it again."""
    setup = IdempotencySetup()
    messages = setup.idempotency.run(setup.request(idempotency_key="k"))
    next(messages)
    messages.close()
    assert text_of(setup.run()) == COMPLETE_TEXT
    assert setup.dispatch_count() == 1


def test_end_of_a_stream_is_withheld_until_the_result_is_stored() -> None:
    """Guards against an answer that looks complete although a repeated request would run again."""
    setup = IdempotencySetup()
    messages = setup.idempotency.run(setup.request(idempotency_key="k", is_repeatable=False))
    next(messages)
    setup.platform.set_faults(PlatformFaults(is_down=True))
    with pytest.raises(RefusedError) as refusal:
        list(messages)
    assert refusal.value.execution is Execution.RUN
    assert refusal.value.retry_after_ms


def test_storing_the_result_is_retried_in_a_short_outage() -> None:
    setup = IdempotencySetup()
    messages = setup.idempotency.run(setup.request(idempotency_key="k"))
    next(messages)
    setup.platform.set_faults(PlatformFaults(is_down=True))
    setup.clock.call_later(700, lambda: setup.platform.set_faults(PlatformFaults()))
    assert isinstance(list(messages)[-1], Finished)


def test_no_repeat_request_that_may_have_run_is_closed() -> None:
    def stop_after_one_chunk(agent: ScriptedAgent, dispatch: Dispatch) -> None:
        send_chunks(agent, dispatch, 1)
        agent.is_silent = True

    setup = IdempotencySetup([stop_after_one_chunk])
    for _ in range(2):
        with pytest.raises(RefusedError) as refusal:
            setup.run(is_repeatable=False)
        assert refusal.value.execution is Execution.MAYBE_RUN
    assert refusal.value.code is ResultCode.OUTCOME_UNKNOWN
    assert setup.dispatch_count() == 1


def test_request_without_a_key_makes_no_store_call() -> None:
    setup = IdempotencySetup()
    list(setup.idempotency.run(setup.request(is_repeatable=False)))
    assert not setup.platform.calls
