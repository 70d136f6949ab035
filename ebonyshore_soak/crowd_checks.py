"""Check after the faults: crowds of clients that keep to no limit, and the memory they cost."""

from random import Random

from ebonyshore.host.operator_server import METRICS_PORT
from ebonyshore_soak.checker import GuaranteeChecker
from ebonyshore_soak.clients import SoakClients
from ebonyshore_standins.client_crowd import HTTP_SHAPES, ClientCrowd
from ebonyshore_standins.fleet_process import FleetProcess
from ebonyshore_standins.platform_fleet import PlatformFleet
from ebonyshore_standins.process_usage import peak_resident_mb

CROWDS = 4  # for each process
MAX_CLIENTS = 60
BYTES_PER_CONNECTION = 300_000
TRIES = 5  # of an ordinary stream after each crowd


def check_client_crowds(
    fleet: PlatformFleet, clients: SoakClients, checker: GuaranteeChecker, seed: int
) -> None:
    """Let crowds loose on the servers of all processes, and check that these go on."""
    random = Random(f"{seed}/crowds")
    for process in fleet.processes:
        for number in range(CROWDS):
            shape = random.choice(list(HTTP_SHAPES))
            port = random.choice(_ports(process))
            _run_crowd((process.ip, port), shape, random.randint(1, MAX_CLIENTS))
            _check_process(process, shape, checker)
            names = [f"stream-{process.name}-crowd{number}x{n}" for n in range(TRIES)]
            if not any(clients.send_stream(name) for name in names):
                checker.report_violation(f"no stream was served after {shape} at {process.name}")
            checker.count("crowds")


def _ports(process: FleetProcess) -> list[int]:
    if process.role == "entry":
        return [process.front_port, process.ready_port, METRICS_PORT]
    return [process.internal_port, METRICS_PORT]


def _run_crowd(address: tuple[str, int], shape: str, size: int) -> None:
    crowd = ClientCrowd(address, HTTP_SHAPES[shape], size, BYTES_PER_CONNECTION)
    try:
        crowd.run()
    finally:
        crowd.close()


def _check_process(process: FleetProcess, shape: str, checker: GuaranteeChecker) -> None:
    if not process.is_running:
        checker.report_violation(f"{process.name} ended while clients sent {shape}")
        return
    peak_mb = peak_resident_mb(process.pid)
    if peak_mb > process.memory_mb:
        checker.report_violation(f"{process.name} used {peak_mb:.0f} MB; clients sent {shape}")
