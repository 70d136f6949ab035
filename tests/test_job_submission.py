"""How an entry offers a job to the runners."""

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
from ebonyshore.link.job_paths import JobCall, JobCallKind
from tests.registry_setup import peer

NAMES = ("a", "b", "c")
SLOW_MS = 20 * SUBMIT_HEDGE_DELAY_MS


class ScriptedCalls(JobCallForwarder):
    """Runners that answer as told; asked in the order of their names.

    :param script: for each runner, the pause before its answer and the status or the error.
    """

    def __init__(self, **script):
        self.script = script
        self.asked = []
        self.given_up = []
        self.failures = []

    def _order_runners(self, _call):
        return [peer(name) for name in NAMES if name in self.script]

    async def _call_runner(self, runner, _call, _request):
        self.asked.append(runner.instance_id)
        pause_ms, answer = self.script[runner.instance_id]
        try:
            await asyncio.sleep(pause_ms / 1_000)
        except asyncio.CancelledError:
            self.given_up.append(runner.instance_id)
            raise
        if isinstance(answer, Exception):
            raise answer
        return RunnerResponse(answer, Headers([]), runner.instance_id.encode())

    def _record_failure(self, runner, _call, _error):
        self.failures.append(runner.instance_id)

    def _cache_owner(self, _job_id, _answer):
        """Owners are not looked at here."""

    def submit(self, kind=JobCallKind.SUBMIT):
        return asyncio.run(self._ask_all(kind))

    async def _ask_all(self, kind):
        answer = await self._call_runners(JobCall(kind, "j"), None)
        await asyncio.sleep(0)
        return answer


def test_a_job_goes_to_one_runner_if_that_answers():
    calls = ScriptedCalls(a=(1.0, 202), b=(1.0, 202))
    assert calls.submit().body == b"a" and calls.asked == ["a"]


def test_a_runner_that_takes_long_does_not_hold_a_job_up():
    """Guards against a job accepted seconds late, as its first runner is cut off from the store."""
    calls = ScriptedCalls(a=(SLOW_MS, 202), b=(1.0, 202), c=(1.0, 202))
    assert calls.submit().body == b"b"
    assert calls.asked == ["a", "b"] and calls.given_up == ["a"]


def test_the_first_runner_may_still_answer_first():
    """Guards against giving a slow store's answer up for one that comes later."""
    calls = ScriptedCalls(a=(1.5 * SUBMIT_HEDGE_DELAY_MS, 202), b=(SLOW_MS, 202))
    assert calls.submit().body == b"a" and calls.given_up == ["b"]


@pytest.mark.parametrize("first", [(SLOW_MS / 8, ExchangeError("cut", was_sent=True)), (1.0, 500)])
def test_a_job_that_one_runner_may_have_taken_is_not_refused_as_not_run(first):
    calls = ScriptedCalls(a=first, b=(1.0, 503))
    answer = calls.submit()
    assert isinstance(answer, ErrorResponse) and answer.code is ResultCode.OUTCOME_UNKNOWN


def test_a_job_that_every_runner_refuses_is_refused():
    calls = ScriptedCalls(
        a=(1.0, 503), b=(1.0, ExchangeError("no connection", was_sent=False)), c=(1.0, 503)
    )
    assert calls.submit().status == 503 and calls.failures == ["b"]


def test_a_read_asks_no_further_runner_while_one_may_answer():
    """Guards against calls to the store that a read costs at each runner."""
    calls = ScriptedCalls(a=(2 * SUBMIT_HEDGE_DELAY_MS, 200), b=(1.0, 200))
    assert calls.submit(JobCallKind.RESULTS).body == b"a" and calls.asked == ["a"]
