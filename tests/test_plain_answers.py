"""Answers of plain services at an agent that have neither a length nor chunks."""

from collections.abc import Iterator

import pytest

from ebonyshore.agent.http_target_client import HttpServiceClient
from ebonyshore.agent.target_client import TargetAnswer, TargetChunk, TargetClient, TargetRequest
from ebonyshore.agent.target_run import RunEnded, RunOutcome, RunProgress, TargetRun, run_on_target
from ebonyshore.frame.clock import ManualClock
from ebonyshore.frame.errors import TargetUnreachableError
from ebonyshore.link.messages import Dispatch, WorkClass
from tests.raw_server import RawServer

BODY = b'{"boot_id": "b"}'
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
UNDELIMITED = HEAD + b"\r\n" + BODY
SIZED = HEAD + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
TIMEOUT_MS = 5_000.0


class LostService(TargetClient):
    """A service that is gone after its answer."""

    def run(self, _request: TargetRequest) -> Iterator[TargetChunk | TargetAnswer]:
        yield TargetChunk(BODY)
        yield TargetAnswer(200, "application/json", is_delimited=False)

    def cancel(self, request_ids: tuple[str, ...]) -> None:
        pass

    def boot_id(self) -> str:
        raise TargetUnreachableError("refused")


def end_of_run(target: TargetClient, boot_id: str) -> RunEnded:
    """Run a request at a target that had the boot id at the start of the run."""
    dispatch = Dispatch("r1", "i1", WorkClass.BATCH, "/p", b"{}", TIMEOUT_MS, "digest", 1)
    run = TargetRun("run-1", b"peer", dispatch, 0.0, 0.0, boot_id=boot_id)
    progress = RunProgress(run, lambda *_: None, ManualClock(0.0), lambda *_: None)
    ended: list[RunEnded] = []
    run_on_target(target, run, TIMEOUT_MS, progress, ended.append)
    return ended[0]


@pytest.mark.parametrize(
    "response, boot_id, outcome",
    [
        (UNDELIMITED, "b", RunOutcome.COMPLETE),
        (UNDELIMITED, "a", RunOutcome.CRASHED),
        (SIZED, "a", RunOutcome.COMPLETE),
    ],
)
def test_answer_that_ended_with_its_service_is_not_complete(response, boot_id, outcome):
    """Guards against a short answer for whole, as the service was started again meanwhile."""
    server = RawServer()
    server.response = response
    try:
        ended = end_of_run(HttpServiceClient(f"http://127.0.0.1:{server.port}"), boot_id)
    finally:
        server.close()
    assert ended.outcome is outcome
    assert ended.boot_id == ("b" if outcome is RunOutcome.CRASHED else "")


def test_answer_of_a_service_that_is_gone_is_not_complete():
    ended = end_of_run(LostService(), "b")
    assert (ended.outcome, ended.boot_id) == (RunOutcome.CRASHED, "")
