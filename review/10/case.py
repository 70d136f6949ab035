"""A runner is cut off from the store while a new one starts, which takes over some of its jobs."""

import asyncio
import json
import sys
import threading
import time
from http.client import HTTPException
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))

from harness import CaseError, Record, is_trouble, run_case, set_heartbeat, write_runs
from servers import Link

from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore_standins.fleet_client import submit_job
from ebonyshore_standins.platform_fleet import PlatformFleet

ENTRIES, RUNNERS, SERVERS = 4, 4, 9
JOBS, ITEMS, EVENTS = 60, 12, 30
EVENT_MS = 10.0
CUT_S = 5.5
STABLE_S = 3.1  # StableWindowMs, and the start of the new runner
SETTLE_S = 1.0  # SettleMs
POLL_S = 0.1
READ_AFTER_S = (0.0, 0.0, 2.6, 2.6)  # from when on the clients of each entry read
END_S = 30.0


class Readers:
    """Reads all jobs at all entries, and notes when each position was first read.

    :ivar faults: reads by which a position had nothing that had been read before.
    """

    def __init__(self, record: Record, fleet: PlatformFleet, jobs: list[str]) -> None:
        self.jobs = jobs
        self.faults: list[tuple[float, str]] = []
        self.seen: dict[tuple[str, int], tuple[float, dict[str, str]]] = {}
        self._record = record
        self._lock = threading.Lock()
        self._is_ended = False
        self._threads = [
            threading.Thread(target=self._run, args=(entry, delay_s), daemon=True)
            for entry, delay_s in zip(fleet.entries, READ_AFTER_S, strict=True)
        ]
        for thread in self._threads:
            thread.start()

    def end(self) -> None:
        self._is_ended = True
        for thread in self._threads:
            thread.join(5)

    def _run(self, entry, delay_s: float) -> None:
        time.sleep(delay_s)
        while not self._is_ended:
            for job_id in self.jobs:
                self._read(entry, job_id)
            time.sleep(POLL_S)

    def _read(self, entry, job_id: str) -> None:
        sent_s = time.monotonic()
        path = f"{WIRE_NAMES.jobs_path}{job_id}?{WIRE_NAMES.results_from}=0"
        try:
            status, _, body = entry.call("GET", path, timeout_s=3.0)
        except (OSError, HTTPException) as error:
            self._record.write(f"{entry.name}: {job_id}: no answer, {error!r}")
            return
        if status != 200:
            self._record.write(f"{entry.name}: {job_id}: {status}")
            return
        results = json.loads(body)["Results"]
        now_s = time.monotonic()
        with self._lock:
            for position, result in enumerate(results):
                self.seen.setdefault((job_id, position), (now_s, result))
            missing = [
                position
                for (known, position), (read_s, _) in self.seen.items()
                if known == job_id and position >= len(results) and sent_s - read_s > SETTLE_S
            ]
            if missing:
                text = f"{entry.name}: {job_id}: nothing at positions {missing}, read before"
                self._record.write(text)
                self.faults.append((sent_s, text))


def case(record: Record, folder: Path) -> bool:
    fleet = PlatformFleet(folder, ENTRIES, RUNNERS, SERVERS)
    for target in fleet.targets:
        target.event_interval_ms = EVENT_MS
    added = fleet.runners.pop()
    fleet.processes.remove(added)
    link = Link(int(fleet.platform.address.rpartition(":")[2]))
    loop = asyncio.new_event_loop()
    threading.Thread(target=loop.run_forever, daemon=True).start()
    asyncio.run_coroutine_threadsafe(link.listen(), loop).result(5)
    fleet.runners[0].write_settings(f"127.0.0.1:{link.port}")
    try:
        set_heartbeat(folder)
        fleet.start()
        time.sleep(1.0)
        return play(record, fleet, added, link, loop)
    finally:
        added.kill_if_running()
        fleet.stop()
        write_runs(record, fleet.targets)


def play(record, fleet, added, link, loop) -> bool:
    jobs = [f"job{number:02}" for number in range(JOBS)]
    for number, job_id in enumerate(jobs):
        status = submit_job(fleet.entries[number % 2], job_id, ITEMS, EVENTS)
        record.write(f"{job_id}: answered {status}")
        if status != 202:
            raise CaseError("a job was not accepted")
    owners = {job_id: owner_of(fleet, job_id) for job_id in jobs}
    record.write(f"owners: {owners}")
    jobs = [job_id for job_id, owner in owners.items() if owner == fleet.runners[0].name]
    record.say(f"jobs of {fleet.runners[0].name}: {len(jobs)}")
    readers = Readers(record, fleet, jobs)
    began_s = time.monotonic()
    if is_trouble():
        loop.call_soon_threadsafe(link.cut)
        record.write(f"{fleet.runners[0].name} cut off from the store")
        added.start()
        record.write(f"{added.name} is added")
    time.sleep(CUT_S)
    if is_trouble():
        loop.call_soon_threadsafe(link.heal, 0.0)
        record.write("the cut has ended")
    healed_s = time.monotonic()
    while time.monotonic() - began_s < END_S and len(readers.seen) < len(jobs) * ITEMS:
        time.sleep(0.2)
    readers.end()
    moved = [job for job in jobs if owner_of(fleet, job) != owners[job]]
    record.say(f"jobs of another owner: {len(moved)}; results read: {len(readers.seen)}")
    judged = [text for at_s, text in readers.faults if began_s + STABLE_S <= at_s <= healed_s]
    record.say(
        f"{len(readers.faults)} reads have nothing at a position that was read more than"
        f" {SETTLE_S} s before, {len(judged)} of them while the entries were in touch"
    )
    for text in judged[:10]:
        record.say(f"  {text}")
    return not judged


def owner_of(fleet, job_id: str) -> str:
    """Return the owner of a job as the store has it."""
    with fleet.platform.state.changed:
        return fleet.platform.state.objects["jobs", job_id]["Spec"]["body"]["owner"]


run_case(__file__, case)
