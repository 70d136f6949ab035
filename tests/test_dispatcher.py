"""Tests of the dispatcher on a manual clock with the engine model as target."""

import pytest
from msgspec import Struct
from msgspec.json import decode, encode

from ebonyshore.agent.agent_server import Broadcast, Outgoing, PeerLost
from ebonyshore.agent.crash_suspicion import LOCAL_CRASH_DEFERRAL_MS
from ebonyshore.agent.dispatcher import DRAIN_GRACE_MS, BeginDrain
from ebonyshore.agent.target_run import RunEnded, RunOutcome
from ebonyshore.frame.result_codes import Execution, ResultCode
from ebonyshore.link.messages import (
    Cancel,
    Chunk,
    CrashReport,
    Dispatch,
    Failed,
    Finished,
    Permit,
    Refused,
    Verdict,
    VerdictShare,
    WorkClass,
)
from ebonyshore.settings.settings_store import SettingsHead
from ebonyshore_standins.engine_model import expected_text
from ebonyshore_standins.simulated_agent import ENTRY_PEER, Prompt, SimulatedAgent, Simulation

POISON = "CRASH-THE-ENGINE"
OTHER_ENTRY = b"entry-2"


class Setup:
    """An agent that accepts requests, and a record of all messages that it has sent."""

    def __init__(self, **settings: object) -> None:
        self.simulation = Simulation()
        self.sent: list[tuple[bytes | None, Struct]] = []
        self.agent = SimulatedAgent(self.simulation, self._record, settings=settings)
        self.agent.run_startup_grace()

    def _record(self, message: Outgoing | Broadcast) -> None:
        peer = message.peer if isinstance(message, Outgoing) else None
        self.sent.append((peer, message.message))

    def run_ms(self, duration_ms: float) -> None:
        self.simulation.run_until(self.simulation.clock.monotonic_ms() + duration_ms)

    def dispatch(self, request_id: str, content: str = "", tokens: int = 10, **fields: object):
        body = encode(Prompt(content or request_id, tokens))
        values = {
            "work_class": WorkClass.ONLINE,
            "deadline_left_ms": 60_000.0,
            "content_digest": content or request_id,
            "settings_revision": self.agent.service.current().revision,
            **fields,
        }
        return Dispatch(
            request_id,
            self.agent.incarnation,
            path="/v1/completions",
            body=body,
            model="m",
            is_stream=True,
            permit=Permit(self.agent.incarnation, self.simulation.clock.monotonic_ms()),
            **values,
        )

    def send(self, request_id: str, content: str = "", tokens: int = 10, **fields: object) -> None:
        self.agent.receive_from(ENTRY_PEER, self.dispatch(request_id, content, tokens, **fields))

    def final_messages(self, request_id: str) -> list[Struct]:
        kinds = Finished | Refused | Failed
        return [m for _, m in self.sent if isinstance(m, kinds) and m.request_id == request_id]

    def final_codes(self, request_id: str) -> list[ResultCode]:
        finals = self.final_messages(request_id)
        return [ResultCode.OK if isinstance(m, Finished) else m.code for m in finals]

    def received_text(self, request_id: str) -> str:
        data = b"\n".join(
            m.data for _, m in self.sent if isinstance(m, Chunk) and m.request_id == request_id
        )
        return "".join(decode(line)["choices"][0]["text"] for line in data.split(b"\n") if line)

    def report_crash(self, *digests: str, crash_id: str = "target-2/x") -> None:
        self.agent.receive_from(OTHER_ENTRY, CrashReport(crash_id, "target-2", digests))


@pytest.fixture
def setup() -> Setup:
    return Setup()


def test_preempted_item_is_resumed_without_loss() -> None:
    setup = Setup(weighting="harm_first")
    for number in range(20):
        setup.send(f"b{number}", tokens=40, work_class=WorkClass.BATCH)
    setup.run_ms(300)
    for number in range(10):
        setup.send(f"o{number}", tokens=20)
    setup.run_ms(8_000)
    assert setup.agent.metrics.counter("batch_preempted") > 10
    for number in range(20):
        assert setup.received_text(f"b{number}") == expected_text(f"b{number}", 40)
        assert setup.final_codes(f"b{number}") == [ResultCode.OK]


def test_only_one_suspect_runs_at_a_time(setup: Setup) -> None:
    setup.report_crash("x", "y")
    setup.send("r1", "x")
    setup.send("r2", "y")
    setup.run_ms(20)
    assert setup.agent.target.started == ["x"]
    setup.run_ms(1_000)
    assert setup.final_codes("r1") == setup.final_codes("r2") == [ResultCode.OK]


def test_crash_report_isolates_running_content(setup: Setup) -> None:
    """Guards against a crash with two suspects in flight, after which neither can be convicted."""
    setup.send("r1", "x", 60, work_class=WorkClass.BATCH)
    setup.send("r2", "y", 60, work_class=WorkClass.BATCH)
    setup.run_ms(100)
    setup.report_crash("x", "y")
    setup.run_ms(30)
    assert len(setup.agent.target.model.running) == 1
    setup.run_ms(3_000)
    assert setup.received_text("r2") == expected_text("y", 60)


def test_suspect_alone_at_a_crash_is_convicted_and_bystanders_are_not(setup: Setup) -> None:
    poison = f"p {POISON}"
    setup.send("bystander", tokens=200)
    setup.report_crash(poison)
    setup.send("r1", poison)
    setup.run_ms(100)
    assert setup.final_codes("r1") == [ResultCode.CONVICTED]
    assert setup.final_codes("bystander") == [ResultCode.TARGET_CRASHED]
    setup.run_ms(LOCAL_CRASH_DEFERRAL_MS + 2_000)
    setup.send("again", poison)
    setup.send("retry", "bystander")
    setup.run_ms(3_000)
    assert setup.final_messages("again")[0].code is ResultCode.CONVICTED
    assert setup.final_codes("retry") == [ResultCode.OK]
    cleared = [m for _, m in setup.sent if isinstance(m, VerdictShare)]
    assert cleared[-1].verdicts[0].is_cleared
    assert not setup.agent.dispatcher._suspicion.table.is_suspect("bystander", 0.0)


def test_content_of_a_local_crash_is_deferred(setup: Setup) -> None:
    """Guards against a third crash by one content.

    If this target ran the content again while a copy runs as suspect on the other candidate target,
    both would crash before the second crash is known.
    """
    poison = f"p {POISON}"
    setup.send("r1", poison)
    setup.run_ms(1_500)
    setup.send("r2", poison)
    setup.run_ms(LOCAL_CRASH_DEFERRAL_MS - 2_000)
    assert setup.agent.target.crashes == 1
    setup.agent.receive_from(ENTRY_PEER, VerdictShare((Verdict(poison, 2, True, 0.0),)))
    assert setup.final_codes("r2") == [ResultCode.CONVICTED]
    assert isinstance(setup.final_messages("r2")[0], Refused)


def test_broken_connection_without_restart_is_no_crash(setup: Setup) -> None:
    setup.send("r1")
    setup.run_ms(20)
    run = next(iter(setup.agent.dispatcher._queues.running.values()))
    boot_id = setup.agent.target.boot_id
    setup.agent.receive(RunEnded(run.run_id, RunOutcome.CRASHED, boot_id=boot_id))
    assert setup.final_codes("r1") == [ResultCode.STREAM_BROKEN]
    assert not any(isinstance(m, CrashReport) for _, m in setup.sent)


def test_crash_report_goes_out_before_the_failures(setup: Setup) -> None:
    """Guards against a retry that reaches another agent before the crash report does."""
    setup.send("r1", f"p {POISON}")
    setup.run_ms(50)
    kinds = [type(m) for _, m in setup.sent]
    assert kinds.index(CrashReport) < kinds.index(Failed)


def test_verdicts_expire_by_the_setting_in_force(setup: Setup) -> None:
    setup.agent.receive_from(ENTRY_PEER, VerdictShare((Verdict("x", 2, True, 0.0),)))
    nodes = {"/": {"suspicion_expiry_ms": 1_000.0}}
    setup.agent.service.adopt(SettingsHead(revision=2, nodes=nodes))
    setup.run_ms(1_500)
    setup.send("r1", "x")
    setup.run_ms(500)
    assert setup.final_codes("r1") == [ResultCode.OK]


def test_draining_agent_refuses_new_requests_and_finishes_running_ones(setup: Setup) -> None:
    setup.send("r1", tokens=200)
    setup.run_ms(50)
    setup.agent.receive(BeginDrain())
    setup.send("r2")
    refusal = setup.final_messages("r2")[0]
    assert isinstance(refusal, Refused) and refusal.code is ResultCode.LEAVING
    assert setup.agent.status.is_leaving and not setup.agent.dispatcher.is_idle
    setup.run_ms(3_000)
    assert setup.received_text("r1") == expected_text("r1", 200)
    assert setup.agent.dispatcher.is_idle


def test_idle_agent_waits_for_dispatches_in_transit_before_it_stops(setup: Setup) -> None:
    """Guards against dispatches in transit that meet a closed socket instead of a refusal."""
    assert not setup.agent.dispatcher.is_idle
    setup.agent.receive(BeginDrain())
    setup.run_ms(DRAIN_GRACE_MS / 2)
    assert not setup.agent.dispatcher.is_idle
    setup.run_ms(DRAIN_GRACE_MS)
    assert setup.agent.dispatcher.is_idle


def test_restarted_agent_aborts_requests_left_in_its_target() -> None:
    simulation = Simulation()
    agent = SimulatedAgent(simulation, lambda message: None)
    agent.target.model.submit("of an earlier agent", "x", 10_000)
    agent.target._step_if_idle()
    agent.run_startup_grace()
    assert not agent.target.model.running


def test_repeated_dispatch_runs_once(setup: Setup) -> None:
    dispatch = setup.dispatch("r1")
    for _ in range(3):
        setup.agent.receive_from(ENTRY_PEER, dispatch)
    setup.run_ms(1_000)
    setup.agent.receive_from(ENTRY_PEER, dispatch)
    setup.run_ms(1_000)
    assert setup.agent.target.started == ["r1"]
    assert setup.final_codes("r1") == [ResultCode.OK]


def test_cancel_from_another_entry_is_ignored(setup: Setup) -> None:
    setup.send("r1")
    setup.agent.receive_from(OTHER_ENTRY, Cancel("r1"))
    setup.agent.receive_from(ENTRY_PEER, Cancel("unknown"))
    setup.run_ms(1_000)
    assert setup.final_codes("r1") == [ResultCode.OK]


def test_requests_of_a_lost_entry_are_cancelled(setup: Setup) -> None:
    setup.send("r1", tokens=500)
    setup.agent.receive_from(OTHER_ENTRY, setup.dispatch("r2", tokens=20))
    setup.run_ms(50)
    setup.agent.receive(PeerLost(ENTRY_PEER))
    setup.run_ms(1_000)
    assert setup.final_codes("r1") == [ResultCode.CANCELLED]
    assert setup.final_codes("r2") == [ResultCode.OK]
    assert setup.agent.metrics.counter("wasted_tokens") > 0


def test_deadline_that_passes_while_running_ends_the_run_in_the_engine(setup: Setup) -> None:
    setup.send("r1", tokens=500, deadline_left_ms=200.0)
    setup.run_ms(300)
    assert setup.final_codes("r1") == [ResultCode.DEADLINE_EXCEEDED]
    assert setup.final_messages("r1")[0].execution is Execution.MAYBE_RUN
    assert not setup.agent.target.model.running


def test_no_repeat_request_is_not_started_again_after_an_abort(setup: Setup) -> None:
    before_first_token_ms = 20
    setup.send("r1", "x" * 8_000, is_repeatable=False)
    setup.run_ms(before_first_token_ms)
    setup.agent.target.model.abort_all()
    setup.run_ms(1_000)
    assert len(setup.agent.target.started) == 1
    assert isinstance(setup.final_messages("r1")[0], Failed)


def test_work_that_cannot_meet_its_deadline_is_refused_at_once(setup: Setup) -> None:
    for number in range(20):
        setup.send(f"a{number}", tokens=100)
    setup.run_ms(5_000)
    for number in range(50):
        setup.send(f"b{number}", tokens=100)
    setup.send("late", deadline_left_ms=300.0)
    refusal = setup.final_messages("late")[0]
    assert isinstance(refusal, Refused) and refusal.code is ResultCode.DEADLINE_UNREACHABLE
    assert refusal.retry_after_ms > 300


def test_late_end_of_a_run_is_ignored(setup: Setup) -> None:
    """Guards against ends of runs that the agent no longer has, as a target restart causes them."""
    setup.agent.receive(RunEnded("gone", RunOutcome.COMPLETE))
    setup.agent.receive(RunEnded("gone", RunOutcome.CRASHED, boot_id="other"))
    setup.send("r1")
    setup.run_ms(1_000)
    assert setup.final_codes("r1") == [ResultCode.OK]


def test_dump_lists_running_requests(setup: Setup) -> None:
    setup.send("r1", tokens=100)
    setup.run_ms(100)
    dump = setup.agent.dispatcher.dump()
    assert [run["request_id"] for run in dump["running"]] == ["r1"]
    assert encode(dump)


def test_load_counts_running_requests() -> None:
    setup = Setup(weighting="throughput_first")
    setup.send("r1", tokens=100)
    setup.send("b1", tokens=100, work_class=WorkClass.BATCH)
    setup.run_ms(100)
    load = setup.agent.status.load
    assert (load.online_running, load.batch_running, load.online_waiting) == (1, 1, 0)
    assert load.step_ms > 0
    assert load.batch_room == load.max_running
