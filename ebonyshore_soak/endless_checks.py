"""Check after the faults: a target whose answers do not end, and the memory of the processes."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

from ebonyshore.frame.clock import Clock
from ebonyshore_soak.checker import GuaranteeChecker
from ebonyshore_soak.clients import SoakClients
from ebonyshore_standins.endless_target import EndlessAnswer
from ebonyshore_standins.platform_fleet import PlatformFleet

# Smallest limits of the users' deployments.
ENTRY_MB, RUNNER_MB = 150, 180
# Answers that no caller may get as complete.
ANSWERS = (EndlessAnswer.TOO_LONG, EndlessAnswer.FAILURE, EndlessAnswer.HEAD, EndlessAnswer.EVENT)
CALLERS = 16
FAULT_MS = 1_500.0
WATCH_INTERVAL_MS = 20.0
MIN_SERVED = CALLERS  # of all streams in this time; each caller reads several


def limit_memory(fleet: PlatformFleet) -> None:
    """Give the processes limits; in force once their settings files are written."""
    for process in fleet.processes:
        process.memory_mb = ENTRY_MB if process.role == "entry" else RUNNER_MB


def check_endless_answers(
    fleet: PlatformFleet, clients: SoakClients, checker: GuaranteeChecker, clock: Clock
) -> None:
    """Let a target send without end, and check that no process exceeds its memory for it."""
    for number, answer in enumerate(ANSWERS):
        target = fleet.targets[number % len(fleet.targets)]
        target.answer = answer
        served, peak_mb = _call_and_watch(fleet, clients, clock, answer)
        target.answer = None
        checker.counts[f"peak_mb_{answer.name.lower()}"] = round(max(peak_mb.values()))
        for process in fleet.processes:
            if peak_mb[process.name] > process.memory_mb:
                checker.report_violation(
                    f"{process.name} used {peak_mb[process.name]:.0f} MB while a target sent "
                    f"{answer.name} without end"
                )
        if served < MIN_SERVED:
            checker.report_violation(f"{served} streams were served beside {answer.name}")


def _call_and_watch(
    fleet: PlatformFleet, clients: SoakClients, clock: Clock, answer: EndlessAnswer
) -> tuple[int, dict[str, float]]:
    """Return the number of streams that were served, and the peak memory by process."""
    end_ms = clock.monotonic_ms() + FAULT_MS

    def call(caller: int) -> int:
        served = 0
        for request_id in _request_ids(f"stream-{answer.name.lower()}-{caller}"):
            if clock.monotonic_ms() >= end_ms:
                return served
            served += clients.send_stream(request_id)
        return served

    peak_mb = dict.fromkeys((process.name for process in fleet.processes), 0.0)
    with ThreadPoolExecutor(CALLERS) as executor:
        callers = [executor.submit(call, caller) for caller in range(CALLERS)]
        while not all(caller.done() for caller in callers):
            for process in fleet.processes:
                peak_mb[process.name] = max(peak_mb[process.name], process.resident_mb())
            clock.sleep_ms(WATCH_INTERVAL_MS)
    return sum(caller.result() for caller in callers), peak_mb


def _request_ids(prefix: str) -> Iterator[str]:
    number = 0
    while True:
        number += 1
        yield f"{prefix}x{number}"
