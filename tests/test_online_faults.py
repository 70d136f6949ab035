"""Message faults in the online service: callers get the full answer or an accurate error."""

from collections.abc import Callable

import pytest

from ebonyshore.entry.openai_api import decode_event
from ebonyshore.frame.errors import RefusedError
from ebonyshore.frame.result_codes import Execution, ResultCode
from ebonyshore.link.messages import Chunk, Dispatch, Failed, Finished, Refused
from ebonyshore_standins.scripted_agents import (
    TOKENS,
    ScriptedAgent,
    answer_events,
    make_stream_event,
    send_chunks,
    send_complete_answer,
)
from tests.online_setup import OnlineSetup, text_of

FULL_TEXT = "".join(TOKENS)


def fail_after(count: int, code: ResultCode) -> Callable[[ScriptedAgent, Dispatch], None]:
    def step(agent: ScriptedAgent, dispatch: Dispatch) -> None:
        send_chunks(agent, dispatch, count)
        agent.reply(Failed(dispatch.request_id, code, Execution.MAYBE_RUN), 1.0)

    return step


def refuse_with(code: ResultCode) -> Callable[[ScriptedAgent, Dispatch], None]:
    return lambda agent, dispatch: agent.reply(Refused(dispatch.request_id, code))


def lose_a_chunk(agent: ScriptedAgent, dispatch: Dispatch) -> None:
    for sequence, event in enumerate(answer_events(dispatch)):
        if sequence != 1:
            agent.reply(Chunk(dispatch.request_id, sequence, event))
    agent.reply(Finished(dispatch.request_id, 5), 1.0)


def lose_the_last_chunk(agent: ScriptedAgent, dispatch: Dispatch) -> None:
    send_chunks(agent, dispatch, 4)
    agent.reply(Finished(dispatch.request_id, 5), 1.0)


def finish_too_early(agent: ScriptedAgent, dispatch: Dispatch) -> None:
    """Send a final message that counts two chunks, before the answer is complete."""
    send_chunks(agent, dispatch, 2)
    agent.reply(Finished(dispatch.request_id, 2), 1.0)


def abort_in_engine(agent: ScriptedAgent, dispatch: Dispatch) -> None:
    send_chunks(agent, dispatch, 2)
    agent.reply(Chunk(dispatch.request_id, 2, make_stream_event("s", "", "abort")), 0.5)
    agent.reply(Finished(dispatch.request_id, 3), 1.0)


def repeat_chunks(agent: ScriptedAgent, dispatch: Dispatch) -> None:
    send_chunks(agent, dispatch, 2)
    send_chunks(agent, dispatch, 1)
    send_complete_answer(agent, dispatch)


def send_foreign_messages(agent: ScriptedAgent, dispatch: Dispatch) -> None:
    agent.reply(Chunk("foreign", 0, make_stream_event("x", "not mine ")), 0.05)
    agent.reply(Finished("foreign", 1), 0.06)
    send_complete_answer(agent, dispatch)


def finish_twice(agent: ScriptedAgent, dispatch: Dispatch) -> None:
    send_complete_answer(agent, dispatch)
    send_complete_answer(agent, dispatch)


def lose_final_message(agent: ScriptedAgent, dispatch: Dispatch) -> None:
    send_chunks(agent, dispatch)
    agent.reply(Failed(dispatch.request_id, ResultCode.AGENT_LOST, Execution.MAYBE_RUN), 1.0)


def stop_responding(agent: ScriptedAgent, dispatch: Dispatch) -> None:
    send_chunks(agent, dispatch, 2)
    agent._clock.call_later(5.0, lambda: setattr(agent, "is_silent", True))


def restart(agent: ScriptedAgent, dispatch: Dispatch) -> None:
    send_chunks(agent, dispatch, 1)
    agent._clock.call_later(5.0, lambda: setattr(agent, "incarnation", "another run"))


FAULTS = [
    fail_after(2, ResultCode.STREAM_BROKEN),
    fail_after(0, ResultCode.TARGET_CRASHED),
    fail_after(3, ResultCode.TARGET_CRASHED),
    lose_a_chunk,
    lose_the_last_chunk,
    finish_too_early,
    abort_in_engine,
    repeat_chunks,
    send_foreign_messages,
    finish_twice,
    lose_final_message,
    stop_responding,
    restart,
    refuse_with(ResultCode.TARGET_BUSY),
    refuse_with(ResultCode.LEAVING),
    refuse_with(ResultCode.STALE_SETTINGS),
]


@pytest.mark.parametrize("fault", FAULTS)
def test_repeatable_stream_is_whole_and_continuous(fault: Callable) -> None:
    """Guards against an answer that looks complete but lacks, repeats or mixes chunks.

    Faults in the middle of a stream cause a retry or a resumption on another target, whose events
    must continue the text under the first stream's id and end with one finish reason.
    """
    setup = OnlineSetup([fault, send_complete_answer], [fault, send_complete_answer])
    state = {"done": False}

    def fail_once(agent: ScriptedAgent, dispatch: Dispatch) -> None:
        step = send_complete_answer if state["done"] else fault
        state["done"] = True
        step(agent, dispatch)

    for agent in setup.agents:
        agent.script = [fail_once]
    messages = list(setup.service.run(setup.request()))
    assert text_of(messages) == FULL_TEXT
    assert isinstance(messages[-1], Finished)
    assert messages[-1].chunk_count == len(messages) - 1
    ids = {decode_event(m.data).id for m in messages[:-1]}
    assert len(ids) == 1
    reasons = [c.finish_reason for m in messages[:-1] for c in decode_event(m.data).choices]
    assert reasons.count("stop") == 1


def test_broken_service_answer_is_replaced_and_not_joined() -> None:
    """Guards against an answer that joins chunks of a failed attempt and of its retry."""

    def break_midway(agent: ScriptedAgent, dispatch: Dispatch) -> None:
        agent.reply(Chunk(dispatch.request_id, 0, b"half"))
        failed = Failed(dispatch.request_id, ResultCode.STREAM_BROKEN, Execution.MAYBE_RUN)
        agent.reply(failed, 1.0)

    def answer(agent: ScriptedAgent, dispatch: Dispatch) -> None:
        agent.reply(Chunk(dispatch.request_id, 0, b"whole"))
        agent.reply(Finished(dispatch.request_id, 1), 1.0)

    setup = OnlineSetup([break_midway], [break_midway], kind="service")
    setup.agents[1].script = [answer]
    setup.agents[0].script = [break_midway]
    messages = list(setup.service.run(setup.request(is_stream=False)))
    assert b"".join(m.data for m in messages[:-1]) == b"whole"


# Only the faults that leave the answer incomplete after the target may have run the request.
@pytest.mark.parametrize("fault", [f for f in FAULTS[:7] + FAULTS[11:13]])
def test_no_repeat_request_runs_once_and_ends_as_maybe_run(fault: Callable) -> None:
    """Guards against a second run of a non-repeatable request.

    The error must not carry a retry hint either, because a caller that follows it would cause one.
    """
    setup = OnlineSetup([fault], [fault])
    with pytest.raises(RefusedError) as refusal:
        list(setup.service.run(setup.request(is_repeatable=False)))
    assert setup.dispatch_count() == 1
    assert refusal.value.execution is Execution.MAYBE_RUN
    assert refusal.value.retry_after_ms is None


def test_no_repeat_request_is_retried_after_a_refusal_that_did_not_run() -> None:
    refuse = refuse_with(ResultCode.TARGET_BUSY)
    setup = OnlineSetup([refuse], [refuse])
    with pytest.raises(RefusedError) as refusal:
        list(setup.service.run(setup.request(is_repeatable=False)))
    assert setup.dispatch_count() == 2
    assert refusal.value.execution is Execution.NOT_RUN
    assert refusal.value.retry_after_ms


def ignore(agent: ScriptedAgent, dispatch: Dispatch) -> None:
    """Send no reply."""


@pytest.mark.parametrize(
    ("cancel_reply", "code", "execution"),
    [
        (None, ResultCode.DEADLINE_EXCEEDED, Execution.MAYBE_RUN),
        (Refused("", ResultCode.CANCELLED), ResultCode.DEADLINE_UNREACHABLE, Execution.NOT_RUN),
        (
            Failed("", ResultCode.CANCELLED, Execution.MAYBE_RUN),
            ResultCode.DEADLINE_EXCEEDED,
            Execution.MAYBE_RUN,
        ),
    ],
)
def test_deadline_waits_briefly_for_the_reply_to_the_cancel(cancel_reply, code, execution) -> None:
    """Guards against two faults at the deadline.

    The entry must not report ``not_run`` unless the agent confirmed it, and must end the request
    within 300 ms even if the agent does not reply to the cancel.
    """
    setup = OnlineSetup([ignore])
    agent = setup.agents[0]
    receive = agent.receive

    def answer_cancel(message: object) -> None:
        receive(message)
        if agent.cancels and cancel_reply is not None:
            kind = type(cancel_reply)
            agent.reply(
                kind(agent.cancels[-1], cancel_reply.code)
                if kind is Refused
                else kind(agent.cancels[-1], cancel_reply.code, cancel_reply.execution)
            )

    agent.receive = answer_cancel
    request = setup.request(deadline_ms=setup.clock.monotonic_ms() + 500)
    with pytest.raises(RefusedError) as refusal:
        list(setup.service.run(request))
    assert (refusal.value.code, refusal.value.execution) == (code, execution)
    assert setup.clock.monotonic_ms() <= request.deadline_ms + 300


def test_unconnected_target_was_not_run() -> None:
    setup = OnlineSetup([ignore])
    setup.agents[0].is_connected = False
    with pytest.raises(RefusedError) as refusal:
        list(setup.service.run(setup.request()))
    assert refusal.value.execution is Execution.NOT_RUN
    assert setup.dispatch_count() == 0


def test_refusal_after_an_earlier_run_does_not_say_not_run() -> None:
    """Guards against ``not_run`` from the last refusal although an earlier attempt may have run."""
    crash = fail_after(0, ResultCode.TARGET_CRASHED)
    setup = OnlineSetup([crash], [crash])
    seen = []

    def crash_then_refuse(agent: ScriptedAgent, dispatch: Dispatch) -> None:
        seen.append(dispatch)
        (crash if len(seen) == 1 else refuse_with(ResultCode.TARGET_BUSY))(agent, dispatch)

    for agent in setup.agents:
        agent.script = [crash_then_refuse]
    with pytest.raises(RefusedError) as refusal:
        list(setup.service.run(setup.request()))
    assert refusal.value.execution is Execution.MAYBE_RUN
    assert [d.is_suspect for d in seen] == [False, True]


@pytest.mark.parametrize("received", [1, 3])
def test_closing_the_answer_cancels_the_request(received: int) -> None:
    setup = OnlineSetup([fail_after(2, ResultCode.STREAM_BROKEN)])
    setup.agents[0].script = [lambda agent, dispatch: send_chunks(agent, dispatch, 3)]
    messages = setup.service.run(setup.request())
    for _ in range(received):
        next(messages)
    messages.close()
    assert setup.agents[0].cancels == [setup.agents[0].dispatches[0].request_id]


def test_disconnected_caller_cancels_the_request_before_any_output() -> None:
    setup = OnlineSetup([ignore])
    with pytest.raises(RefusedError):
        list(setup.service.run(setup.request(), lambda: setup.clock.monotonic_ms() > 2_000))
    assert setup.agents[0].cancels
    assert setup.clock.monotonic_ms() < 2_500


def test_truncated_service_answer_is_not_returned() -> None:
    """Guards against a truncated body, which only the chunk count reveals."""

    def lose_the_end(agent: ScriptedAgent, dispatch: Dispatch) -> None:
        agent.reply(Chunk(dispatch.request_id, 0, b"the start"))
        agent.reply(Finished(dispatch.request_id, 2), 1.0)

    setup = OnlineSetup([lose_the_end], kind="service")
    with pytest.raises(RefusedError) as refusal:
        list(setup.service.run(setup.request(is_stream=False)))
    assert refusal.value.code is ResultCode.STREAM_BROKEN
