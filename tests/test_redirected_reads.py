"""Reads of a job that reach a runner which does not own it are redirected to the owner."""

import asyncio
from random import Random
from types import SimpleNamespace

from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.gateway.job_call_forwarder import JobCallForwarder, RunnerResponse
from ebonyshore.http.client import ExchangeError
from ebonyshore.http.headers import Headers
from ebonyshore.http.memory_budget import FixedHolder
from ebonyshore.link.job_call import OWNER_HEADER, REDIRECT_STATUS, JobCall, JobCallKind
from tests.registry_setup import make_peer

READ = JobCall(JobCallKind.RESULTS, "j1", may_redirect=True)


class OwnedJobForwarder(JobCallForwarder):
    """Calls three runners without a network; ``owner`` owns the job.

    :ivar calls: the runner and whether it might redirect, for each call.
    """

    def __init__(self, owner, unreachable=()):
        peers = SimpleNamespace(of_role=lambda _role: {key: make_peer(key) for key in "abc"})
        view = SimpleNamespace(open_items_by_runner={"a": 0, "b": 0, "c": 0})
        super().__init__(None, peers, view, None, EventLog(), Metrics(), Random(1))
        self.owner = owner
        self.unreachable = unreachable
        self.calls = []

    async def _call_runner(self, runner, call, _request, _received):
        name = runner.instance_id
        self.calls.append((name, call.may_redirect))
        if name in self.unreachable:
            raise ExchangeError("no connection", was_sent=False)
        redirects = call.may_redirect and name != self.owner
        status = REDIRECT_STATUS if redirects else 200
        return RunnerResponse(status, Headers([(OWNER_HEADER, self.owner)]), name.encode())

    def read(self):
        return asyncio.run(self._call_runners(READ, None, FixedHolder()))


def test_redirected_read_is_answered_by_the_owner_and_the_next_one_goes_there_at_once():
    forwarder = OwnedJobForwarder("b")
    forwarder._owners["j1"] = "c"
    assert forwarder.read().body == b"b"
    assert forwarder.calls == [("c", True), ("b", False)]
    assert forwarder.read().body == b"b"
    assert forwarder.calls[2:] == [("b", True)]


def test_read_is_answered_by_another_runner_if_the_owner_cannot_be_reached():
    forwarder = OwnedJobForwarder("b", unreachable=("b",))
    forwarder._owners["j1"] = "c"
    response = forwarder.read()
    assert response.status == 200 and response.body in (b"a", b"c")
    assert [name for name, _ in forwarder.calls].count("b") == 1
