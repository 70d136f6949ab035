"""Checks after the faults: streams that are taken up after all processes were killed at once."""

from functools import partial

from ebonyshore.frame.clock import Clock
from ebonyshore_soak.checker import GuaranteeChecker
from ebonyshore_soak.clients import STREAM_EVENTS, SoakClients
from ebonyshore_standins.caller_stream import CallerStream
from ebonyshore_standins.platform_fleet import PlatformFleet

STREAMS = 16
EVENTS_BEFORE_BREAK = 5
STORED_MS = 1_000.0  # until the origins of streams are stored
LISTED_MS = 700.0  # until all processes know a change of the list


def check_rejoined_streams(
    fleet: PlatformFleet, clients: SoakClients, checker: GuaranteeChecker, clock: Clock
) -> None:
    """Kill all processes twice while callers read streams of two software versions.

    While both versions are listed, most streams have to go on. Then the targets of one version have
    left; its streams must not go on elsewhere, which the check of all runs shows.
    """
    _take_up_after_kill(fleet, clients, checker, clock, "both")
    rejoined, lost = (checker.counts.get(f"{name}_both", 0) for name in ("rejoined", "lost"))
    if lost > rejoined:
        checker.report_violation(f"{lost} streams did not go on after all processes were killed")
    _take_up_after_kill(fleet, clients, checker, clock, "left", fleet.targets[0].software_version)


def _take_up_after_kill(
    fleet: PlatformFleet,
    clients: SoakClients,
    checker: GuaranteeChecker,
    clock: Clock,
    name: str,
    leaving_version: str | None = None,
) -> None:
    streams = [CallerStream(f"stream-{name}-{number}", STREAM_EVENTS) for number in range(STREAMS)]
    for number, stream in enumerate(streams):
        entry = fleet.entries[number % len(fleet.entries)]
        clients.call_or_none(partial(stream.read, entry, EVENTS_BEFORE_BREAK))
    clock.sleep_ms(STORED_MS)
    for target in fleet.targets:
        if target.software_version == leaving_version:
            fleet.platform.state.delete("servers", target.target_id, None)
    clock.sleep_ms(LISTED_MS)
    fleet.restart_all()
    for number, stream in enumerate(streams):
        if stream.data:
            entry = fleet.entries[(number + 1) % len(fleet.entries)]
            clients.call_or_none(partial(stream.read, entry))
            checker.count(f"rejoined_{name}" if stream.is_complete else f"lost_{name}")
