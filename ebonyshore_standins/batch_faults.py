"""Random faults for a simulated fleet, and the check of what is left afterwards."""

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
    SimulationClock,
)
from ebonyshore_standins.engine_model import expected_text

SETTLE_BOUND_MS = 1_200_000.0
PERMIT_BOUND_MS = 10_000.0
RESTART_MS = 4_000.0
REASONS_OF_LOSS = (ResultCode.CONVICTED, ResultCode.ATTEMPTS_EXHAUSTED)


class FaultInjector:
    """Strikes a world with faults; each is counted in ``world.events``.

    :param kinds: names of the faults to choose from; all if empty.
    """

    def __init__(self, world: BatchSimulation, kinds: Sequence[str] = ()) -> None:
        self._world = world
        self._random = world.random
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
        """Names of all faults."""
        return tuple(self._faults)

    def inject_fault(self) -> None:
        """Let one random fault happen."""
        kind = self._random.choice(self._kinds)
        if kind not in ("resend", "cancel"):
            self._world.events[kind] += 1
        self._faults[kind]()

    def _entry(self):
        return self._random.choice(self._world.entries)

    def _agent(self):
        return self._random.choice(self._world.agents)

    def _later(self, duration_ms: float, action: Callable[[], None]) -> None:
        self._world.scheduled_actions.append((self._world.now_ms + duration_ms, action))

    def _kill(self) -> None:
        entry = self._entry()
        if not entry.is_dead:
            entry.kill()
        self._restart_later(entry)

    def _restart_later(self, entry) -> None:
        def restart() -> None:
            if entry.is_dead:
                entry.start()

        self._later(self._random.uniform(100, RESTART_MS), restart)

    def _kill_in_call(self) -> None:
        entry = self._entry()
        entry.is_kill_planned = True
        self._later(20_000, lambda: entry.start() if entry.is_dead else None)

    def _drain(self) -> None:
        entry = self._entry()
        if not entry.is_dead:
            entry.drain()
        self._later(30_000, lambda: entry.start() if entry.is_dead else None)

    def _freeze(self) -> None:
        self._entry().freeze(self._random.uniform(1_000, 60_000))

    def _freeze_in_call(self) -> None:
        self._entry().planned_freeze_ms = self._random.uniform(1_000, 60_000)

    def _cut_off_from_store(self) -> None:
        self._switch(self._entry(), "is_cut_off_from_store", True, False, 45_000)

    def _cut_off_from_agents(self) -> None:
        self._switch(self._entry(), "is_cut_off_from_agents", True, False, 20_000)

    def _store_down(self) -> None:
        self._switch(self._world.platform.faults, "is_down", True, False, 60_000)

    def _store_slow(self) -> None:
        self._switch(self._entry(), "store_delay_ms", self._random.uniform(100, 1_500), 0.0, 15_000)

    def _lost_answers(self) -> None:
        self._switch(self._entry(), "lost_answer_ratio", 0.5, 0.0, 15_000)

    def _switch(self, owner, name: str, on: object, off: object, longest_ms: float) -> None:
        setattr(owner, name, on)
        self._later(self._random.uniform(500, longest_ms), lambda: setattr(owner, name, off))

    def _agent_kill(self) -> None:
        agent = self._agent()
        agent.kill()
        self._later(self._random.uniform(100, RESTART_MS), agent.restart)

    def _agent_stall(self) -> None:
        agent = self._agent()
        agent.stall_until_ms = self._world.now_ms + self._random.uniform(1_000, 30_000)

    def _preempt(self) -> None:
        self._agent().preempt()

    def _crash(self) -> None:
        self._agent().crash()

    def _resend(self) -> None:
        if self._world.jobs and not self._world.resend(self._random.choice([*self._world.jobs])):
            raise AssertionError("a resent job got another id")

    def _cancel(self) -> None:
        if self._world.jobs:
            self._world.cancel(self._random.choice([*self._world.jobs][-3:]))


class FaultReport(Struct):
    """What a run found.

    :param wrongly_failed: sound items that ended as failed, with a true reason: their attempts were
        used up by lost agents, or they were suspects next to an item that crashed the target.
    :param faults: one line for each fault; empty if all is well.
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
    """Submit jobs of random sizes while faults strike, then end the faults and check."""
    world = BatchSimulation(seed)
    driver = FaultInjector(world, kinds)
    world.run(1_000)
    left = items
    while left > 0:
        size = min(left, world.random.choice((7, 60, 300, 900)))
        world.submit(size, poison_ratio, bad_ratio=0.01)
        left -= size
        for _ in range(max(1, size // 20)):
            driver.inject_fault()
            world.run(world.random.uniform(0, 2 * mean_gap_ms))
    has_ended = world.run_to_completion(SETTLE_BOUND_MS)
    report = FaultReport(seed, items)
    if not has_ended:
        report.faults.append("jobs have not ended")
    check_simulation(world, report)
    return report


def check_simulation(world: BatchSimulation, report: FaultReport) -> None:
    """Audit the world and compare every answer with the one the target must give."""
    store = world.fault_free_job_store()
    settings = SettingsStore(MarkedStore(world.platform, SimulationClock(world, None)), None)
    audit = Auditor(store, settings).run()
    report.events = sum(world.events.values())
    report.by_kind = dict(world.events)
    report.lost = audit.lost + audit.open_items
    report.doubled = audit.duplicated
    report.cancelled = audit.cancelled
    report.failed = audit.failed
    report.faults += audit.faults
    report.max_start_after_cancel_ms = world.max_start_after_cancel_ms
    if world.max_start_after_cancel_ms > PERMIT_BOUND_MS:
        report.faults.append(f"an item started {world.max_start_after_cancel_ms} ms after a cancel")
    if audit.accepted != sum(job["items"] for job in world.jobs.values()):
        report.faults.append(f"{audit.accepted} items were accepted")
    for job_id in world.jobs:
        _check_job(world, job_id, report)


def _check_job(world: BatchSimulation, job_id: str, report: FaultReport) -> None:
    store = world.fault_free_job_store()
    job = store.read_job(job_id)
    lines = world.jobs[job_id]["data"].split(b"\n")
    outcomes = list(store.read_outcomes(job))
    report.wrongly_failed += sum(
        outcome.code in REASONS_OF_LOSS and POISON_MARKER.encode() not in lines[outcome.item]
        for outcome in outcomes
    )
    report.faults += [
        f"{job_id}/{outcome.item}: {fault}"
        for outcome in outcomes
        if (fault := _outcome_fault(lines[outcome.item], outcome))
    ]
    if job_id not in world.cancelled_ms and job.state is JobState.CANCELLED:
        # A cancel whose answer was lost may take effect all the same.
        world.events["unacknowledged_cancel"] += 1
    if job_id in world.cancelled_ms and job.state is not JobState.CANCELLED:
        report.faults.append(f"{job_id}: the cancel was lost")


def _outcome_fault(line: bytes, outcome: ItemOutcome) -> str:
    """Return what is wrong with an outcome; empty if nothing is."""
    try:
        item = parse_item(line)
    except RequestError:
        return "" if outcome.code is ResultCode.INVALID_REQUEST else "malformed, but not refused"
    content = item.body["messages"][0]["content"]
    if item.body["model"] not in MODELS:
        return "" if outcome.code is ResultCode.UNKNOWN_MODEL else "ran without a model"
    if outcome.code is not ResultCode.OK:
        return "" if outcome.code in REASONS_OF_LOSS else f"failed: {outcome.code.name}"
    if POISON_MARKER in content:
        return "completed, but crashes its target"
    text = decode(outcome.body)["choices"][0]["message"]["content"]
    expected = expected_text(f"user: {content}", item.body["max_tokens"])
    return "" if text == expected else f"answer {text!r} instead of {expected!r}"
