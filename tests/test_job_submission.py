"""Submission of a job to the runners by an entry."""

import asyncio

import pytest

from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.gateway.job_call_forwarder import (
    SUBMIT_HEDGE_DELAY_MS,
    JobCallForwarder,
    RunnerResponse,
)
from ebonyshore.host.error_responses import ErrorResponse
from ebonyshore.http.client import ExchangeError
from ebonyshore.http.headers import Headers
from ebonyshore.http.memory_budget import FixedHolder
from ebonyshore.link.job_call import JobCall, JobCallKind
from tests.registry_setup import make_peer

NAMES = ("a", "b", "c")
SLOW_MS = 20 * SUBMIT_HEDGE_DELAY_MS


class ScriptedJobCallForwarder(JobCallForwarder):
    """A forwarder whose runners follow a script; they are called in the order of their names.

    :param script: for each runner, the delay of its response in ms, and the status or the error.
    """

    def __init__(self, **script):
        self.script = script
        self.called = []
        self.cancelled = []
        self.failures = []

    def _order_runners(self, _call):
        return [make_peer(name) for name in NAMES if name in self.script]

    async def _call_runner(self, runner, _call, _request, _received):
        self.called.append(runner.instance_id)
        pause_ms, answer = self.script[runner.instance_id]
        try:
            await asyncio.sleep(pause_ms / 1_000)
        except asyncio.CancelledError:
            self.cancelled.append(runner.instance_id)
            raise
        if isinstance(answer, Exception):
            raise answer
        return RunnerResponse(answer, Headers([]), runner.instance_id.encode())

    def _record_failure(self, runner, _call, _error):
        self.failures.append(runner.instance_id)

    def _cache_owner(self, _job_id, _answer):
        """Do nothing: owners do not matter in these tests."""

    def submit(self, kind=JobCallKind.SUBMIT):
        return asyncio.run(self._submit(kind))

    async def _submit(self, kind):
        answer = await self._call_runners(JobCall(kind, "j"), None, FixedHolder())
        await asyncio.sleep(0)
        return answer


def test_job_is_offered_to_one_runner_if_it_responds():
    calls = ScriptedJobCallForwarder(a=(1.0, 202), b=(1.0, 202))
    assert calls.submit().body == b"a" and calls.called == ["a"]


def test_slow_runner_does_not_delay_a_job():
    """Guards against a job accepted seconds late, as its first runner cannot reach the store."""
    calls = ScriptedJobCallForwarder(a=(SLOW_MS, 202), b=(1.0, 202), c=(1.0, 202))
    assert calls.submit().body == b"b"
    assert calls.called == ["a", "b"] and calls.cancelled == ["a"]


def test_first_runner_may_still_respond_before_the_hedged_call():
    """Guards against cancelling the first call, delayed by a slow store, as the second begins."""
    calls = ScriptedJobCallForwarder(a=(1.5 * SUBMIT_HEDGE_DELAY_MS, 202), b=(SLOW_MS, 202))
    assert calls.submit().body == b"a" and calls.cancelled == ["b"]


@pytest.mark.parametrize(
    "first_result", [(SLOW_MS / 8, ExchangeError("cut", was_sent=True)), (1.0, 500)]
)
def test_job_that_a_runner_may_have_accepted_is_not_refused_as_not_executed(first_result):
    calls = ScriptedJobCallForwarder(a=first_result, b=(1.0, 503))
    answer = calls.submit()
    assert isinstance(answer, ErrorResponse) and answer.code is ResultCode.OUTCOME_UNKNOWN


def test_job_refused_by_every_runner_is_refused():
    calls = ScriptedJobCallForwarder(
        a=(1.0, 503), b=(1.0, ExchangeError("no connection", was_sent=False)), c=(1.0, 503)
    )
    assert calls.submit().status == 503 and calls.failures == ["b"]


def test_read_calls_no_other_runner_while_one_may_respond():
    """Guards against needless calls to the store, which a read causes at each runner."""
    calls = ScriptedJobCallForwarder(a=(2 * SUBMIT_HEDGE_DELAY_MS, 200), b=(1.0, 200))
    assert calls.submit(JobCallKind.RESULTS).body == b"a" and calls.called == ["a"]


def test_job_that_exceeds_the_limit_of_its_route_is_offered_to_no_further_runner():
    calls = ScriptedJobCallForwarder(a=(1.0, 429), b=(1.0, 202))
    assert calls.submit().status == 429 and calls.called == ["a"]


def test_refusal_is_not_passed_on_while_another_runner_may_accept_the_job():
    """Guards against a job that runs although its caller was told that it does not."""
    late_refusal = (1.5 * SUBMIT_HEDGE_DELAY_MS, 429)
    calls = ScriptedJobCallForwarder(a=(3 * SUBMIT_HEDGE_DELAY_MS, 202), b=late_refusal)
    assert calls.submit().status == 202


def test_job_that_a_runner_may_have_accepted_is_not_refused_for_the_limit():
    calls = ScriptedJobCallForwarder(a=(1.0, 500), b=(1.0, 429))
    answer = calls.submit()
    assert isinstance(answer, ErrorResponse) and answer.code is ResultCode.OUTCOME_UNKNOWN
