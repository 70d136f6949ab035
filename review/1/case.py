"""Finished items in a script of three bytes a character are never listed after a store outage."""

from pathlib import Path
from random import Random
from time import monotonic, sleep

from ebonyshore_standins.fleet_client import read_job, submit_job
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
from review.common.lossy_store import LossyStore

ITEMS = 24  # the most on the deployment; the page allows 200
MEAN_EVENTS, SPREAD_EVENTS, MAX_EVENTS = 188, 47, 300  # as on the deployment's sheet
EVENT_MS = 20.0
TEXT = "સાબુ" * 25  # 100 characters of three bytes; the site's pieces have 450 bytes at most
DOWN_AFTER_S = 0.8
DOWN_S = 4.5  # as on the deployment
DUE_S = 18.0
FINISH_S = 18.0
CALM_S = 5.0


class GujaratiTarget(StreamTarget):
    """A server whose events hold Gujarati text; each item has a length of its own."""

    async def _stream(self, request_id, headers, writer) -> None:
        length = Random(request_id).gauss(MEAN_EVENTS, SPREAD_EVENTS)
        events = int(min(MAX_EVENTS, max(40.0, length)))
        await super()._stream(request_id, {**headers, "length-hint": str(events)}, writer)

    def _send_event(self, run, number, writer, padding_bytes=0) -> None:
        event = f"id: {number}\ndata: {TEXT}\n\n".encode()
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        run.last_event = number


def read_until(record: Record, fleet: CaseFleet, job_id: str, end_s: float) -> int:
    """Read a job twice a second until all results are listed, or the end; return their number."""
    listed, known = 0, -1
    while monotonic() < end_s and listed < ITEMS:
        response = call_or_none(read_job, fleet.entries[0], job_id, listed)
        if response is not None and response[0] == 200:
            listed = response[1]["Next"]
        if listed != known:
            known = listed
            record.write(f"GET of {job_id}: {listed} of {ITEMS} items are listed")
        sleep(0.5)
    return listed


def play(record: Record, folder: Path) -> int:
    targets = [GujaratiTarget(f"t{n}", event_interval_ms=EVENT_MS) for n in range(1, 5)]
    fleet = CaseFleet(folder, 2, 4, targets, LossyStore(value_bytes=1_048_576))
    store = fleet.platform
    try:
        fleet.start()
        record.write("fleet is ready")
        status = submit_job(fleet.entries[0], "labels", ITEMS, MEAN_EVENTS)
        record.write(f"POST of labels ({ITEMS} items): {status}")
        if status != 202:
            raise TimeoutError("the job was not accepted")
        accepted_s = monotonic()
        read_until(record, fleet, "labels", accepted_s + DOWN_AFTER_S)
        if HAS_TROUBLE:
            record.write(f"the store is down for {DOWN_S} s")
            store.fault_hook = lambda _method, _path: 503
        sleep(DOWN_S)
        store.fault_hook = lambda _method, _path: None
        record.write("the store serves again")
        listed = read_until(record, fleet, "labels", accepted_s + DUE_S + FINISH_S)
        runs = [run for target in targets for run in list(target.runs)]
        finished = {run.request_id for run in runs if run.is_complete}
        recent_s = monotonic() - CALM_S
        is_idle = not any(run.ended_ms / 1000 > recent_s for run in runs)
        record.write(f"{listed} of {ITEMS} items are listed; servers have finished {len(finished)}")
        record.write(f"writes that the store refused as too large: {store.too_large}")
        for runner in fleet.runners:
            lines = [text for text in runner.read_log().splitlines() if "results_not_st" in text]
            if lines:
                record.write(f"log of {runner.name}, {len(lines)} times: {lines[-1][:240]}")
        return BROKEN if listed < ITEMS and is_idle else HELD
    finally:
        fleet.stop()


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
