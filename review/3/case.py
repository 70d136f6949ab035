"""Streams that callers take up go on at another software version after a stop of all processes."""

import threading
from pathlib import Path
from time import monotonic, sleep

from ebonyshore_standins.caller_stream import CallerStream
from ebonyshore_standins.fleet_config import SERVICE
from ebonyshore_standins.stream_target import StreamTarget
from review.common.fleet import (
    BROKEN,
    HAS_TROUBLE,
    HELD,
    CaseFleet,
    Record,
    call_or_none,
    run_case,
)

STREAMS = 16
EVENTS = 40  # the site's streams have 44 at most
EVENT_MS = 30.0
OLD, NEW = "v0", "v1"
DOWN_S = 4.0  # of the store; 4.5 on the deployment
KILLED_BEFORE_RETURN_S = 0.8
BEGUN_BEFORE_KILL_S = 0.6
FIRST_RETURN_S, LAST_RETURN_S = 0.2, 1.8  # of entries, after the store; the page says about 2 s
DEADLINE_S = 5.0
MAX_TRIES = 6  # of a caller: "a few times within their deadline"
RETRY_S = 0.5  # after a refusal, as its Retry-After says, or without a connection
BREAK_AFTER = 15  # events, where callers close their connection themselves
TOLERATED = 2  # mixed streams


class VersionedTarget(StreamTarget):
    """A server whose events tell the version of its software."""

    def _send_event(self, run, number, writer, padding_bytes=0) -> None:
        event = f"id: {number}\ndata: {run.stream_id}.{number}.{self.software_version}\n\n"
        writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
        run.last_event = number


def read_stream(fleet: CaseFleet, number: int, streams: list[CallerStream]) -> None:
    """Read a stream, and take it up at the other entry when it breaks off, until the deadline."""
    stream = CallerStream(f"ask{number}", EVENTS)
    streams.append(stream)
    end_s = monotonic() + DEADLINE_S
    turn = number
    until = None if HAS_TROUBLE else BREAK_AFTER
    for _ in range(MAX_TRIES):
        known = len(stream.data)
        entry = fleet.entries[turn % len(fleet.entries)]
        call_or_none(stream.read, entry, until, 3.0)
        if stream.is_complete or monotonic() > end_s:
            return
        until = None
        turn += 1
        sleep(0.1 if len(stream.data) > known else RETRY_S)


def versions(stream: CallerStream) -> set[str]:
    """Return the versions of the servers whose events the caller has received."""
    return {data.rpartition(".")[2] for data in stream.data}


def list_server(fleet: CaseFleet, target: StreamTarget) -> None:
    fleet.platform.state.put("servers", target.target_id, target.target_entry(SERVICE))


def disturb(record: Record, fleet: CaseFleet, down_s: float) -> None:
    """Kill all processes near the end of an outage of the store in which entries have lapsed."""
    store = fleet.platform
    for process in fleet.processes:
        process.kill()
    record.write("all processes are killed")
    for process in fleet.processes:
        process.start()
    sleep(max(0.0, down_s + DOWN_S - monotonic()))
    for target in fleet.targets:
        store.state.delete("servers", target.target_id, None)
    store.fault_hook = lambda _method, _path: None
    returned_s = monotonic()
    record.write("the store serves again; the entries of the servers have lapsed")
    for at_s, version in ((FIRST_RETURN_S, NEW), (LAST_RETURN_S, OLD)):
        sleep(max(0.0, returned_s + at_s - monotonic()))
        for target in fleet.targets:
            if target.software_version == version:
                list_server(fleet, target)
        record.write(f"the servers of {version} have registered again")


def play(record: Record, folder: Path) -> int:
    targets = [VersionedTarget(f"t{n}", event_interval_ms=EVENT_MS) for n in range(1, 5)]
    for target in targets:
        target.software_version = NEW if target is targets[-1] else OLD
    fleet = CaseFleet(folder, 2, 4, targets)
    streams: list[CallerStream] = []
    try:
        fleet.start()
        record.write("fleet is ready: t1 to t3 have v0, t4 has v1")
        sleep(1.0)
        down_s = monotonic()
        if HAS_TROUBLE:
            fleet.platform.fault_hook = lambda _method, _path: 503
            record.write("the store is down")
            sleep(DOWN_S - KILLED_BEFORE_RETURN_S - BEGUN_BEFORE_KILL_S)
        callers = [
            threading.Thread(target=read_stream, args=(fleet, number, streams), daemon=True)
            for number in range(STREAMS)
        ]
        for caller in callers:
            caller.start()
        record.write(f"{STREAMS} callers have sent their requests")
        sleep(BEGUN_BEFORE_KILL_S)
        if HAS_TROUBLE:
            disturb(record, fleet, down_s)
        for caller in callers:
            caller.join(15)
        runs = sorted(
            (run for target in targets for run in list(target.runs)), key=lambda run: run.started_ms
        )
        for run in runs:
            record.write(
                f"{run.software_version} ran {run.request_id} (stream {run.stream_id}), events "
                f"{run.first_event} to {run.last_event}",
                run.started_ms / 1000,
            )
        for stream in streams:
            received = sorted(versions(stream))
            record.write(
                f"{stream.name}: {len(stream.data)} events of {received}, answers {stream.statuses}"
            )
        mixed = [stream.name for stream in streams if len(versions(stream)) > 1]
        whole = sum(stream.is_complete for stream in streams)
        record.write(f"{whole} of {STREAMS} streams are whole")
        record.write(f"streams with events of two versions at their callers: {sorted(mixed)}")
        return BROKEN if len(mixed) > TOLERATED else HELD
    finally:
        fleet.stop()


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
