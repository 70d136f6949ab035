"""Injects random faults into a simulated fleet and checks the outcomes of its jobs."""

from collections.abc import Callable, Sequence

from msgspec import Struct
from msgspec.json import decode

from ebonyshore.batch.audit import Auditor
from ebonyshore.batch.job_files import parse_item
from ebonyshore.batch.jobs import ItemOutcome, JobState
from ebonyshore.frame.errors import RequestError
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.settings.settings_store import SettingsStore
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore_standins.batch_simulation import (
    MODELS,
    POISON_MARKER,
    BatchSimulation,
)
from ebonyshore_standins.engine_model import expected_text
from ebonyshore_standins.simulation_clock import SimulationClock

COMPLETION_TIMEOUT_MS = 1_200_000.0
MAX_START_AFTER_CANCEL_MS = 10_000.0
MAX_RESTART_DELAY_MS = 4_000.0
EXPECTED_FAILURE_CODES = (ResultCode.CONVICTED, ResultCode.ATTEMPTS_EXHAUSTED)


class FaultInjector:
    """Injects faults into a simulation and counts them by kind in ``simulation.events``.

    :param kinds: kinds of faults to choose from; all if empty.
    """

    def __init__(self, simulation: BatchSimulation, kinds: Sequence[str] = ()) -> None:
        self._simulation = simulation
        self._random = simulation.random
        self._faults: dict[str, Callable[[], None]] = {
            "kill": self._kill,
            "kill_in_call": self._kill_in_call,
            "drain": self._drain,
            "freeze": self._freeze,
            "freeze_in_call": self._freeze_in_call,
            "cut_off_from_store": self._cut_off_from_store,
            "cut_off_from_agents": self._cut_off_from_agents,
            "store_down": self._store_down,
            "store_slow": self._store_slow,
            "lost_answers": self._lost_answers,
            "agent_kill": self._agent_kill,
            "agent_stall": self._agent_stall,
            "preempt": self._preempt,
            "crash": self._crash,
            "resend": self._resend,
            "cancel": self._cancel,
        }
        self._kinds = tuple(kinds) or tuple(self._faults)

    @property
    def all_kinds(self) -> tuple[str, ...]:
        """All kinds of faults that the injector knows."""
        return tuple(self._faults)

    def inject_fault(self) -> None:
        """Inject a fault of a random kind.

        :raises AssertionError: if a resubmitted job got another id.
        """
        kind = self._random.choice(self._kinds)
        if kind not in ("resend", "cancel"):
            self._simulation.events[kind] += 1
        self._faults[kind]()

    def _choose_entry(self):
        return self._random.choice(self._simulation.entries)

    def _choose_agent(self):
        return self._random.choice(self._simulation.agents)

    def _schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        self._simulation.scheduled_actions.append((self._simulation.now_ms + delay_ms, action))

    def _kill(self) -> None:
        entry = self._choose_entry()
        if not entry.is_dead:
            entry.kill()
        self._schedule_restart(entry)

    def _schedule_restart(self, entry) -> None:
        def restart() -> None:
            if entry.is_dead:
                entry.start()

        self._schedule(self._random.uniform(100, MAX_RESTART_DELAY_MS), restart)

    def _kill_in_call(self) -> None:
        entry = self._choose_entry()
        entry.is_kill_planned = True
        self._schedule(20_000, lambda: entry.start() if entry.is_dead else None)

    def _drain(self) -> None:
        entry = self._choose_entry()
        if not entry.is_dead:
            entry.drain()
        self._schedule(30_000, lambda: entry.start() if entry.is_dead else None)

    def _freeze(self) -> None:
        self._choose_entry().freeze(self._random.uniform(1_000, 60_000))

    def _freeze_in_call(self) -> None:
        self._choose_entry().planned_freeze_ms = self._random.uniform(1_000, 60_000)

    def _cut_off_from_store(self) -> None:
        self._set_for_a_while(self._choose_entry(), "is_cut_off_from_store", True, False, 45_000)

    def _cut_off_from_agents(self) -> None:
        self._set_for_a_while(self._choose_entry(), "is_cut_off_from_agents", True, False, 20_000)

    def _store_down(self) -> None:
        self._set_for_a_while(self._simulation.platform.faults, "is_down", True, False, 60_000)

    def _store_slow(self) -> None:
        self._set_for_a_while(
            self._choose_entry(), "store_delay_ms", self._random.uniform(100, 1_500), 0.0, 15_000
        )

    def _lost_answers(self) -> None:
        self._set_for_a_while(self._choose_entry(), "lost_answer_ratio", 0.5, 0.0, 15_000)

    def _set_for_a_while(
        self,
        owner,
        attribute: str,
        faulty_value: object,
        normal_value: object,
        max_duration_ms: float,
    ) -> None:
        setattr(owner, attribute, faulty_value)
        self._schedule(
            self._random.uniform(500, max_duration_ms),
            lambda: setattr(owner, attribute, normal_value),
        )

    def _agent_kill(self) -> None:
        agent = self._choose_agent()
        agent.kill()
        self._schedule(self._random.uniform(100, MAX_RESTART_DELAY_MS), agent.restart)

    def _agent_stall(self) -> None:
        agent = self._choose_agent()
        agent.stall_until_ms = self._simulation.now_ms + self._random.uniform(1_000, 30_000)

    def _preempt(self) -> None:
        self._choose_agent().preempt()

    def _crash(self) -> None:
        self._choose_agent().crash()

    def _resend(self) -> None:
        if self._simulation.jobs and not self._simulation.resend(
            self._random.choice([*self._simulation.jobs])
        ):
            raise AssertionError("a resubmitted job got another id")

    def _cancel(self) -> None:
        if self._simulation.jobs:
            self._simulation.cancel(self._random.choice([*self._simulation.jobs][-3:]))


class FaultReport(Struct):
    """The result of a run with faults.

    :param items: number of items submitted.
    :param events: number of injected faults and of their effects.
    :param lost: number of items without an outcome.
    :param doubled: number of items with more than one outcome.
    :param wrongly_failed: number of valid items that failed for a permitted reason: lost agents
        used up their attempts, or they were suspects that ran beside an item that crashed the
        target.
    :param max_start_after_cancel_ms: longest time from the acknowledgement of a cancel to the start
        of an item of that job.
    :param by_kind: ``events`` by kind.
    :param faults: a description of each violation; empty if none was found.
    """

    seed: int
    items: int = 0
    events: int = 0
    lost: int = 0
    doubled: int = 0
    cancelled: int = 0
    failed: int = 0
    wrongly_failed: int = 0
    max_start_after_cancel_ms: float = 0.0
    by_kind: dict[str, int] = {}
    faults: list[str] = []


def run_with_faults(
    seed: int,
    items: int,
    kinds: Sequence[str] = (),
    mean_gap_ms: float = 2_000.0,
    poison_ratio: float = 0.001,
) -> FaultReport:
    """Submit jobs of random sizes while injecting faults, then clear the faults and check the jobs.

    :param items: number of items over all jobs.
    :param kinds: kinds of faults to inject; all if empty.
    :param mean_gap_ms: average simulated time between two faults.
    :param poison_ratio: share of items that crash the target.
    """
    simulation = BatchSimulation(seed)
    injector = FaultInjector(simulation, kinds)
    simulation.run(1_000)
    left = items
    while left > 0:
        size = min(left, simulation.random.choice((7, 60, 300, 900)))
        simulation.submit(size, poison_ratio, invalid_ratio=0.01)
        left -= size
        for _ in range(max(1, size // 20)):
            injector.inject_fault()
            simulation.run(simulation.random.uniform(0, 2 * mean_gap_ms))
    has_ended = simulation.run_to_completion(COMPLETION_TIMEOUT_MS)
    report = FaultReport(seed, items)
    if not has_ended:
        report.faults.append(f"jobs have not ended within {COMPLETION_TIMEOUT_MS:.0f} ms")
    check_simulation(simulation, report)
    return report


def check_simulation(simulation: BatchSimulation, report: FaultReport) -> None:
    """Audit all jobs and compare every response with the one that the target must give.

    :param report: filled with the figures and the violations found.
    """
    store = simulation.fault_free_job_store()
    settings = SettingsStore(
        MarkedStore(simulation.platform, SimulationClock(simulation, None)), None
    )
    audit = Auditor(store, settings).run()
    report.events = sum(simulation.events.values())
    report.by_kind = dict(simulation.events)
    report.lost = audit.lost + audit.open_items
    report.doubled = audit.duplicated
    report.cancelled = audit.cancelled
    report.failed = audit.failed
    report.faults += audit.faults
    report.max_start_after_cancel_ms = simulation.max_start_after_cancel_ms
    if simulation.max_start_after_cancel_ms > MAX_START_AFTER_CANCEL_MS:
        report.faults.append(
            f"an item started {simulation.max_start_after_cancel_ms} ms after a cancel"
        )
    if audit.accepted != sum(job["items"] for job in simulation.jobs.values()):
        report.faults.append(f"the audit counts {audit.accepted} accepted items")
    for job_id in simulation.jobs:
        _check_job(simulation, job_id, report)


def _check_job(simulation: BatchSimulation, job_id: str, report: FaultReport) -> None:
    store = simulation.fault_free_job_store()
    job = store.read_job(job_id)
    lines = simulation.jobs[job_id]["data"].split(b"\n")
    outcomes = list(store.read_outcomes(job))
    report.wrongly_failed += sum(
        outcome.code in EXPECTED_FAILURE_CODES and POISON_MARKER.encode() not in lines[outcome.item]
        for outcome in outcomes
    )
    report.faults += [
        f"{job_id}/{outcome.item}: {fault}"
        for outcome in outcomes
        if (fault := _find_outcome_fault(lines[outcome.item], outcome))
    ]
    if job_id not in simulation.cancelled_ms and job.state is JobState.CANCELLED:
        # A cancel whose response was lost may still have taken effect.
        simulation.events["unacknowledged_cancel"] += 1
    if job_id in simulation.cancelled_ms and job.state is not JobState.CANCELLED:
        report.faults.append(f"{job_id}: state {job.state.name} after a cancel")


def _find_outcome_fault(line: bytes, outcome: ItemOutcome) -> str:
    """Return a description of what is wrong with an outcome, or an empty string.

    :param line: the item's line of the input file.
    """
    try:
        item = parse_item(line)
    except RequestError:
        return (
            "" if outcome.code is ResultCode.INVALID_REQUEST else "malformed line was not refused"
        )
    content = item.body["messages"][0]["content"]
    if item.body["model"] not in MODELS:
        return "" if outcome.code is ResultCode.UNKNOWN_MODEL else "unknown model was not refused"
    if outcome.code is not ResultCode.OK:
        return "" if outcome.code in EXPECTED_FAILURE_CODES else f"item failed: {outcome.code.name}"
    if POISON_MARKER in content:
        return "item that crashes its target ended as OK"
    text = decode(outcome.body)["choices"][0]["message"]["content"]
    expected = expected_text(f"user: {content}", item.body["max_tokens"])
    return "" if text == expected else f"response {text!r} instead of {expected!r}"
