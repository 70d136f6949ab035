"""Injects overlapping faults that are drawn from a seed."""

import signal
import subprocess
from collections.abc import Callable
from functools import partial
from random import Random
from threading import Event, Lock, Thread

from ebonyshore.frame.clock import MS_PER_S, Clock
from ebonyshore_soak.checker import MAX_FAULT_DURATION_MS
from ebonyshore_soak.proxy import FaultProxy, LinkState
from ebonyshore_standins.fleet_config import SERVICE
from ebonyshore_standins.fleet_process import FleetProcess
from ebonyshore_standins.platform_fleet import PlatformFleet

MAX_FAULT_DURATION_S = MAX_FAULT_DURATION_MS / MS_PER_S
FAULT_INTERVAL_S = (0.1, 0.9)  # range of the time between two faults of a thread
FAULT_THREADS = 2
MAX_FOREIGN_ENTRIES = 3
SILENT_SHARE = 0.35  # of the store's answers that are lost, as on the users' deployments
# Entries in the list of targets that name no server to use: two that cannot be read (a text that is
# not UTF-8, and NaN), and two with a value that is missing or out of range.
FOREIGN_ENTRIES: tuple[dict[str, object], ...] = (
    {"Service": SERVICE, "Note": b"\xff".decode("utf-8", "surrogateescape")},
    {"Service": SERVICE, "Capacity": float("nan")},
    {"Service": SERVICE, "Address": "127.0.0.1:9", "Zone": "fd-a", "Capacity": 8},
    {
        "Service": SERVICE,
        "Address": "127.0.0.1:70000",
        "Zone": "fd-a",
        "Version": "v1",
        "Capacity": 8,
        "State": "ready",
        "Sequence": 1,
    },
)


class FaultInjector:
    """Injects faults from outside the processes until :meth:`stop`, which undoes all faults.

    :param store_proxies: proxies between the processes and the store.
    :param target_proxies: proxies in front of the targets.
    :param seed: seed of the choice of faults.
    :ivar log: one text for each fault, after its monotonic time in ms.
    """

    def __init__(
        self,
        fleet: PlatformFleet,
        store_proxies: list[FaultProxy],
        target_proxies: list[FaultProxy],
        seed: int,
        clock: Clock,
    ) -> None:
        self._fleet = fleet
        self._store_proxies = store_proxies
        self._target_proxies = target_proxies
        self._seed = seed
        self._clock = clock
        self._is_stopped = Event()
        self._threads: list[Thread] = []
        self._lock = Lock()
        self._reserved_names: set[str] = set()
        self.log: list[str] = []
        self._fault_methods: list[Callable[[Random], None]] = [
            partial(self._inject_into_process, self._kill),
            self._kill_role,
            partial(self._inject_into_process, self._pause),
            partial(self._inject_into_process, self._terminate),
            self._inject_link_fault,
            self._inject_link_fault,
            self._inject_store_fault,
            self._discard_store_history,
            self._expire_targets,
        ]

    def start(self) -> None:
        """Start the threads that inject faults.

        Planned stops of targets, entries of other writers and silent connections of the store have
        threads of their own, so that a seed draws the same other faults as it did without them.
        """
        for number in range(FAULT_THREADS):
            self._start_thread(f"{self._seed}/faults/{number}", self._fault_methods)
        self._start_thread(f"{self._seed}/leaving", [self._let_target_leave])
        self._start_thread(f"{self._seed}/foreign", [self._store_foreign_entry])
        self._start_thread(f"{self._seed}/silent", [self._silence_store_answers])

    def _start_thread(self, seed: str, methods: list[Callable[[Random], None]]) -> None:
        arguments = (Random(seed), methods)
        thread = Thread(target=self._inject_until_stopped, args=arguments, daemon=True)
        self._threads.append(thread)
        thread.start()

    def stop(self) -> None:
        """Stop injecting faults and restore the connections and the store.

        Waits for each thread for up to 60 s, in which it resumes or restarts its processes.
        """
        self._is_stopped.set()
        for thread in self._threads:
            thread.join(60)
        self._fleet.platform.fault_hook = lambda _method, _path: None
        for proxy in [*self._store_proxies, *self._target_proxies]:
            proxy.restore()

    def _inject_until_stopped(
        self, random: Random, methods: list[Callable[[Random], None]]
    ) -> None:
        while not self._is_stopped.wait(random.uniform(*FAULT_INTERVAL_S)):
            random.choice(methods)(random)

    def _log_fault(self, text: str) -> None:
        self.log.append(f"{self._clock.monotonic_ms():.0f} {text}")

    def _sleep_s(self, duration_s: float) -> None:
        self._clock.sleep_ms(duration_s * MS_PER_S)

    def _reserve(
        self,
        processes: list[FleetProcess],
        choose: Callable[[list[FleetProcess]], list[FleetProcess]],
    ) -> list[FleetProcess]:
        """Reserve processes, so that no other thread injects a fault into them.

        :param choose: gets the processes that are not reserved, unless there are none, and returns
            those to reserve.
        :return: the reserved processes, which the caller has to release.
        """
        with self._lock:
            free = [process for process in processes if process.name not in self._reserved_names]
            chosen = choose(free) if free else []
            self._reserved_names |= {process.name for process in chosen}
        return chosen

    def _release(self, processes: list[FleetProcess]) -> None:
        with self._lock:
            self._reserved_names -= {process.name for process in processes}

    def _inject_into_process(
        self, inject: Callable[[FleetProcess, Random], None], random: Random
    ) -> None:
        """Inject a fault into a random process, unless other threads have reserved all of them."""
        reserved = self._reserve(self._fleet.processes, lambda free: [random.choice(free)])
        try:
            for process in reserved:
                inject(process, random)
        finally:
            self._release(reserved)

    def _kill(self, process: FleetProcess, random: Random) -> None:
        duration_s = random.uniform(0.0, MAX_FAULT_DURATION_S)
        self._log_fault(f"kill {process.name} for {duration_s:.2f} s")
        process.kill()
        self._sleep_s(duration_s)
        process.start()

    def _kill_role(self, random: Random) -> None:
        role = random.choice([self._fleet.entries, self._fleet.runners])
        reserved = self._reserve(role, lambda free: free)
        try:
            self._log_fault(f"kill {[process.name for process in reserved]}")
            for process in reserved:
                process.kill()
            self._sleep_s(random.uniform(0.0, 1.0))
            for process in reserved:
                process.start()
        finally:
            self._release(reserved)

    def _pause(self, process: FleetProcess, random: Random) -> None:
        duration_s = random.uniform(0.2, MAX_FAULT_DURATION_S)
        self._log_fault(f"pause {process.name} for {duration_s:.2f} s")
        process.signal(signal.SIGSTOP)
        self._sleep_s(duration_s)
        process.signal(signal.SIGCONT)

    def _terminate(self, process: FleetProcess, _random: Random) -> None:
        self._log_fault(f"terminate {process.name}")
        try:
            process.stop()
        except subprocess.TimeoutExpired:
            self._log_fault(f"{process.name} did not stop within the time limit")
            process.kill()
        process.start()

    def _inject_link_fault(self, random: Random) -> None:
        proxy = random.choice([*self._store_proxies, *self._target_proxies])
        kind = random.choice(["delay", "reset", "up", "down", "silence", "refuse"])
        duration_s = random.uniform(0.1, MAX_FAULT_DURATION_S)
        self._log_fault(f"proxy {proxy.address} {kind} for {duration_s:.2f} s")
        if kind == "reset":
            proxy.reset_connections()
            return
        proxy.state = LinkState(
            delay_s=random.uniform(0.02, 0.3) if kind == "delay" else 0.0,
            drops_client_data=kind in ("up", "silence"),
            drops_server_data=kind in ("down", "silence"),
            refuses_connections=kind == "refuse",
        )
        self._sleep_s(duration_s)
        proxy.restore()

    def _inject_store_fault(self, random: Random) -> None:
        fault = random.choice([429, 503, "reset", "lost"])
        ratio = random.choice([0.3, 1.0])
        duration_s = random.uniform(0.1, MAX_FAULT_DURATION_S)
        self._log_fault(f"store {fault} for {ratio} of the calls, {duration_s:.2f} s")
        fault_random = Random(random.random())
        self._fleet.platform.fault_hook = lambda _method, _path: (
            fault if fault_random.random() < ratio else None
        )
        self._sleep_s(duration_s)
        self._fleet.platform.fault_hook = lambda _method, _path: None

    def _silence_store_answers(self, random: Random) -> None:
        """Lose answers of the store for a while, whose connections stay open without a word."""
        self._sleep_s(random.uniform(0.0, MAX_FAULT_DURATION_S))
        duration_s = random.uniform(0.5, MAX_FAULT_DURATION_S)
        self._log_fault(f"store silent for {SILENT_SHARE} of the calls, {duration_s:.2f} s")
        fault_random = Random(random.random())
        self._fleet.platform.fault_hook = lambda _method, _path: (
            "silent" if fault_random.random() < SILENT_SHARE else None
        )
        self._sleep_s(duration_s)
        self._fleet.platform.fault_hook = lambda _method, _path: None

    def _discard_store_history(self, random: Random) -> None:
        self._log_fault("store discards its change history")
        self._fleet.platform.state.discard_history()

    def _expire_targets(self, random: Random) -> None:
        """Delete the entries of some targets while the store is unavailable, and restore them."""
        self._log_fault("target entries expire while the store is unavailable")
        state = self._fleet.platform.state
        self._fleet.platform.fault_hook = lambda _method, _path: 503
        self._sleep_s(0.2)
        chosen = [candidate for candidate in self._fleet.targets if random.random() < 0.7]
        entries = {target: state.objects.get(("servers", target.target_id)) for target in chosen}
        for target in entries:
            state.delete("servers", target.target_id, None)
        self._sleep_s(random.uniform(0.1, 1.0))
        self._fleet.platform.fault_hook = lambda _method, _path: None
        self._sleep_s(random.uniform(0.0, 1.5))
        for target, entry in entries.items():
            if entry is not None:
                # The target may have been started again in the meantime.
                spec = {**entry["Spec"], "born": target.born_ms}
                state.put("servers", target.target_id, spec)

    def _store_foreign_entry(self, random: Random) -> None:
        """Let another writer store an entry that names no server to use, for a while."""
        state, name = self._fleet.platform.state, f"foreign-{random.randrange(MAX_FOREIGN_ENTRIES)}"
        number = random.randrange(len(FOREIGN_ENTRIES))
        self._log_fault(f"unusable entry {number} at {name}")
        state.put("servers", name, FOREIGN_ENTRIES[number])
        self._sleep_s(random.uniform(0.0, MAX_FAULT_DURATION_S))
        state.delete("servers", name, None)

    def _let_target_leave(self, random: Random) -> None:
        """Let a target leave as planned, and come back as a new incarnation.

        It says so in its answers; the list says it too, or not at all.
        """
        number = random.randrange(len(self._fleet.targets))
        target, proxy = self._fleet.targets[number], self._target_proxies[number]
        is_listed = random.random() < 0.5
        self._log_fault(f"{target.target_id} leaves, {'listed' if is_listed else 'not listed'}")
        target.says_it_leaves = True
        entry = proxied_target_entry(self._fleet, number, proxy.address)
        if is_listed:
            entry["State"] = "draining"
            self._fleet.platform.state.put("servers", target.target_id, entry)
        self._sleep_s(random.uniform(0.5, MAX_FAULT_DURATION_S))
        target.restart()
        entry = proxied_target_entry(self._fleet, number, proxy.address)
        self._fleet.platform.state.put("servers", target.target_id, entry)


def proxied_target_entry(fleet: PlatformFleet, number: int, address: str) -> dict[str, object]:
    """Return the store entry of a target with the address of a proxy.

    :param number: index of the target in the fleet.
    :param address: ``IP:PORT`` of the proxy.
    """
    return {**fleet.targets[number].target_entry(SERVICE), "Address": address}
