"""Entries and runners as real processes on loopback, with a stand-in object store and targets."""

import os
import socket
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

from ebonyshore.frame.clock import MS_PER_S, SystemClock
from ebonyshore_standins.fleet_client import read_job
from ebonyshore_standins.fleet_config import SERVICE, make_config
from ebonyshore_standins.fleet_process import FleetProcess
from ebonyshore_standins.object_store_server import ObjectStoreServer
from ebonyshore_standins.stream_target import StreamTarget

START_TIMEOUT_S = 20.0
POLL_INTERVAL_MS = 20.0
OCTETS = 250
RESERVED_HOST = "127.{octet}.255.254"  # no process of a fleet has it
RESERVED_PORT = 9463
CLOCK = SystemClock()


def reserve_octet() -> tuple[int, socket.socket]:
    """Return the second octet of loopback addresses that no other test run uses.

    The port of the metrics is the same for all processes, so each test run needs its own addresses.

    :return: the octet, and the socket that reserves it until it is closed.
    :raises OSError: if there is none.
    """
    for attempt in range(OCTETS):
        octet = 1 + (os.getpid() + attempt) % OCTETS
        try:
            return octet, socket.create_server((RESERVED_HOST.format(octet=octet), RESERVED_PORT))
        except OSError:
            continue
    raise OSError("all loopback addresses for test runs are in use")


RUN_OCTET, _RESERVATION = reserve_octet()


class PlatformFleet:
    """Entries, runners and targets that share one object store.

    :param folder: folder for settings files and logs.
    :param entries: number of entries.
    :param runners: number of runners.
    :param targets: number of targets.
    :param address_octet: third octet of the loopback addresses of entries and runners; fleets that
        run at the same time need different ones.
    :param make_target: returns a target with a given id.
    :param accounts: client accounts of the configuration, as
        :func:`~ebonyshore_standins.fleet_config.account` returns them; calls carry the first key of
        the first one. ``None`` if callers need no key.
    :param revocation_ms: bound on the use of removed keys; ``None`` if there is none.
    :ivar platform: the stand-in object store.
    """

    def __init__(
        self,
        folder: Path,
        entries: int = 2,
        runners: int = 2,
        targets: int = 3,
        address_octet: int = 1,
        make_target: Callable[[str], StreamTarget] = StreamTarget,
        accounts: Sequence[dict[str, object]] | None = None,
        revocation_ms: int | None = None,
    ) -> None:
        self._accounts = accounts
        self.platform = ObjectStoreServer()
        self.targets = [make_target(f"t{number}") for number in range(1, targets + 1)]
        names = [("entry", n) for n in range(entries)] + [("runner", n) for n in range(runners)]
        self.processes = [
            FleetProcess(
                role, f"{role}-{n}", f"127.{RUN_OCTET}.{address_octet}.{index + 1}", folder
            )
            for index, (role, n) in enumerate(names)
        ]
        self.entries = self.processes[:entries]
        self.runners = self.processes[entries:]
        for process in self.processes:
            process.revocation_ms = revocation_ms
            process.key = accounts[0]["ApiKeys"][0] if accounts else None
        self.set_store_address(self.platform.address)

    def set_store_address(self, address: str) -> None:
        """Write another address of the object store to all settings files, for the next starts.

        :param address: ``IP:PORT``.
        """
        for process in self.processes:
            process.write_settings(address)

    def start(self, target_entries: dict[str, dict[str, object]] | None = None) -> None:
        """Start the store, the targets and all processes, and wait until the fleet is ready.

        It is ready when the entries pass the health check, all processes are registered in the
        store and the entries reach the runners.

        :param target_entries: objects of the list of targets, by target id, for targets that run
            already. If omitted, the fleet starts and lists its own targets.
        :raises TimeoutError: if the fleet is not ready in time.
        """
        self.platform.start()
        self.platform.state.put("config", "main", make_config(1, accounts=self._accounts))
        if target_entries is None:
            for target in self.targets:
                target.start()
            target_entries = {
                target.target_id: target.target_entry(SERVICE) for target in self.targets
            }
        for target_id, entry in target_entries.items():
            self.platform.state.put("servers", target_id, entry)
        self._start_processes()

    def restart_all(self) -> None:
        """Kill all processes, start them again and wait until the fleet is ready."""
        for process in self.processes:
            process.kill_if_running()
        self._start_processes()

    def _start_processes(self) -> None:
        for process in self.processes:
            process.start()
        wait_until(lambda: all(entry.is_ready() for entry in self.entries))
        wait_until(self._are_registered)
        wait_until(lambda: all(_reaches_runners(entry) for entry in self.entries))

    def stop(self) -> None:
        """Stop the targets and the store, and kill all processes that still run."""
        for process in self.processes:
            process.kill_if_running()
        for target in self.targets:
            target.stop()
        self.platform.stop()

    def _are_registered(self) -> bool:
        with self.platform.state.changed:
            registered = {name for kind, name in self.platform.state.objects if kind == "processes"}
        return {process.name for process in self.processes} <= registered


@contextmanager
def running(fleet: PlatformFleet) -> Iterator[None]:
    """Start a fleet, and stop it at the end of the block, also if it did not start."""
    try:
        fleet.start()
        yield
    finally:
        fleet.stop()


def _reaches_runners(entry: FleetProcess) -> bool:
    return read_job(entry, "unknown")[0] == 404


def wait_until(condition, timeout_s: float = START_TIMEOUT_S) -> None:
    """Poll until a condition holds.

    :param condition: function without parameters that returns whether the condition holds.
    :raises TimeoutError: if the condition does not hold within ``timeout_s``.
    """
    deadline_ms = CLOCK.monotonic_ms() + timeout_s * MS_PER_S
    while not condition():
        if CLOCK.monotonic_ms() > deadline_ms:
            raise TimeoutError(f"the condition did not become true within {timeout_s} s")
        CLOCK.sleep_ms(POLL_INTERVAL_MS)
