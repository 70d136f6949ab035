"""A small deployment on loopback for the cases: processes, settings, targets and a store stand-in.

The processes are started with the commands of the deploy file. Stand-ins of the project are used
where they follow the users' pages.
"""

import os
import signal
import sys
import tempfile
from http.client import HTTPException
from pathlib import Path
from time import monotonic, sleep

from ebonyshore_standins.fleet_client import cancel_job
from ebonyshore_standins.platform_fleet import PlatformFleet
from ebonyshore_standins.stream_target import StreamTarget
from review.common.lossy_store import LossyStore

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# Bounds and limits of the deployment lather-desk.
SETTINGS = """
NodeName = "{name}"
Role = "{role}"
MachineClass = "{machine_class}"
Serves = ["{machine_class}"]
Ip = "{ip}"
Zone = "{zone}"
Region = "gujarat-west"
InternalPorts = [{internal}, {internal_last}]
Bootstrap = true
FaultCounted = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","recover","batch","stream","engine","platform"]
[Zones]
rajkot = "gujarat-west"
bhavnagar = "gujarat-west"
jamnagar = "gujarat-west"
morbi = "gujarat-west"
[Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
[Limits]
CpuShare = {cpu_share}
Cores = {cores}
MemoryMb = {memory_mb}
MaxFds = {fds}
LinkMbps = {link_mbps}
DiskMb = {disk_mb}
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StableWindowMs = 3000
AckMs = 4000
CatchUpS = 5
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RevertSlackMs = 250
PartitionMaxMs = 5000
RecoverS = 12
PassMs = 120
RetryAfterS = 0
FinishS = 18
StatusS = 120
CancelMs = 3000
SettleMs = 1000
QuotaOverage = 0.1
[Platform]
Address = "{store}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""
ZONES = ("rajkot", "bhavnagar", "jamnagar", "morbi")
LIMITS = {
    "edge": {
        "cpu_share": 0.817,
        "cores": 1,
        "memory_mb": 150,
        "fds": 4200,
        "link_mbps": 1000.0,
        "disk_mb": 0,
    },
    "storage": {
        "cpu_share": 0.717,
        "cores": 3,
        "memory_mb": 180,
        "fds": 8200,
        "link_mbps": 600.0,
        "disk_mb": 540,
    },
}
STABLE_WINDOW_S = 3.0
CANCEL_S = 3.0


class Record:
    """Writes ``record.txt`` of a case; each line begins with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_s = monotonic()

    def write(self, text: str, at_s: float | None = None) -> None:
        seconds = (monotonic() if at_s is None else at_s) - self._began_s
        line = f"{seconds:8.3f} {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


class CaseFleet(PlatformFleet):
    """Entries, runners and targets of a case, with full settings and a store that loses answers.

    :param folder: folder for settings and logs.
    :param targets: the targets, which are not started yet.
    :param store: the stand-in store.
    """

    def __init__(
        self,
        folder: Path,
        entries: int,
        runners: int,
        targets: list[StreamTarget],
        store: LossyStore | None = None,
    ) -> None:
        super().__init__(folder, entries, runners, 0)
        self.targets = targets
        self.platform = store or LossyStore()
        for number, process in enumerate(self.processes):
            index = number if process.role == "entry" else number - entries
            write_settings(process, ZONES[index % len(ZONES)], self.platform.address)


def write_settings(process, zone: str, store_address: str) -> None:
    """Write the settings file of a process, as the platform's page on deployments shows it."""
    machine_class = "edge" if process.role == "entry" else "storage"
    process._settings_path.write_text(
        SETTINGS.format(
            name=process.name,
            role=process.role,
            machine_class=machine_class,
            ip=process.ip,
            zone=zone,
            internal=process._internal_port,
            internal_last=process._internal_port,
            front=process.front_port,
            ready=process.ready_port,
            store=store_address,
            **LIMITS[machine_class],
        )
    )


def call_or_none(call, *arguments, **named):
    """Return the result of a call, or ``None`` if there was no complete response."""
    try:
        return call(*arguments, **named)
    except (OSError, HTTPException):
        return None


def cancel_until_acknowledged(record: Record, entry, job_id: str, limit_s: float) -> float | None:
    """End a job, repeating the call until it is acknowledged; return the time of that."""
    end_s = monotonic() + limit_s
    while monotonic() < end_s:
        status = call_or_none(cancel_job, entry, job_id, 4.0)
        record.write(f"DELETE of {job_id} at {entry.name}: {status}")
        if status == 200:
            return monotonic()
        sleep(0.3)
    return None


def run_case(folder: Path, play) -> None:
    """Run a case and exit with its result; all that it started is ended.

    :param play: called with the record and a temporary folder; returns the exit status.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(folder)
    record.write("with trouble" if HAS_TROUBLE else "without trouble")
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        try:
            status = play(record, Path(temporary))
        except (OSError, TimeoutError) as error:
            record.write(f"the case could not run: {error!r}")
            status = NOT_RUN
    names = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}
    record.write(names[status])
    sys.exit(status)
