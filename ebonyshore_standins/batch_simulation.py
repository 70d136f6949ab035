"""A simulated fleet that runs the production batch code on one thread with simulated time.

Every entry runs the production shard runner, job store and batch API against the in-memory
platform. Agents are simplified models that use the production admission and suspicion code. While a
process blocks in a store call or in a sleep, the rest of the fleet continues, so a fault can occur
between any two steps of the process's work.
"""

from collections import Counter
from collections.abc import Callable
from random import Random

from msgspec.json import encode

from ebonyshore.batch.batch_api import BatchApi
from ebonyshore.batch.job_store import JobStore
from ebonyshore.frame.errors import StoreError
from ebonyshore.frame.process_settings import BatchSettings
from ebonyshore.settings.settings_tree import SettingsTree
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore_standins.batch_simulation_agent import SimulatedAgent
from ebonyshore_standins.batch_simulation_base import BatchSimulationBase
from ebonyshore_standins.batch_simulation_entry import ProcessKilled, SimulatedEntry
from ebonyshore_standins.memory_platform import MemoryPlatform
from ebonyshore_standins.simulation_clock import SimulationClock

STEP_MS = 100.0
MODELS = ("reader", "writer")
CHAT_PATH = "/v1/chat/completions"
POISON_MARKER = "CRASH-THE-ENGINE"
CALLERS = ("bakery", "lather", "couriers")
SETTINGS = SettingsTree(
    1, {"/tiers/care": {}, "/tiers/care/models/reader": {}, "/tiers/care/models/writer": {}}
)


class BatchSimulation(BatchSimulationBase):
    """A fleet of entries and agents with one platform.

    :param seed: seed of every random choice.
    :param entries: number of entries.
    :param agents: number of agents.
    :param settings: batch settings of the entries; if ``None``, small shards and at most three of
        them at an entry.
    :ivar jobs: caller, idempotency key (``name``), input file and number of items of each accepted
        job, by job id.
    :ivar cancelled_ms: time at which the cancel of a job was acknowledged, by job id.
    :ivar max_start_after_cancel_ms: longest time from the acknowledgement of a cancel to the start
        of an item of that job.
    """

    def __init__(
        self,
        seed: int,
        entries: int = 3,
        agents: int = 3,
        settings: BatchSettings | None = None,
    ) -> None:
        self.random = Random(seed)
        self.now_ms = 1_000.0
        self.platform = MemoryPlatform(SimulationClock(self, None), seed)
        self.settings = settings or BatchSettings(shard_items=40, max_shards=3, window_items=24)
        self.settings_tree = SETTINGS
        self.events: Counter[str] = Counter()
        self.cancelled_ms: dict[str, float] = {}
        self.max_start_after_cancel_ms = 0.0
        self.scheduled_actions: list[tuple[float, Callable[[], None]]] = []
        self.jobs: dict[str, dict[str, object]] = {}
        self.agents = [SimulatedAgent(self, f"agent-{n}") for n in range(agents)]
        self.entries = [SimulatedEntry(self, f"entry-{n}") for n in range(entries)]
        self._batch_count = 0
        self._depth = 0

    def run(self, duration_ms: float) -> None:
        """Advance the simulation by a duration."""
        self.run_while_blocked(None, duration_ms)

    def run_while_blocked(self, blocked_process: object, duration_ms: float) -> None:
        """Advance the simulation while a process is blocked.

        Calls nest: processes that are already blocked remain so.

        :param blocked_process: the entry that waits; ``None`` if none does.
        """
        end_ms = self.now_ms + duration_ms
        was_blocked = getattr(blocked_process, "is_blocked", False)
        if blocked_process is not None:
            blocked_process.is_blocked = True
        try:
            while self.now_ms < end_ms:
                self.now_ms = min(end_ms, self.now_ms + STEP_MS)
                self._step()
        finally:
            if blocked_process is not None:
                blocked_process.is_blocked = was_blocked

    def _step(self) -> None:
        due = [action for due_ms, action in self.scheduled_actions if due_ms <= self.now_ms]
        self.scheduled_actions = [each for each in self.scheduled_actions if each[0] > self.now_ms]
        for action in due:
            action()
        for agent in self.agents:
            agent.step()
        for entry in self.entries:
            entry.step()

    def fault_free_job_store(self) -> JobStore:
        """Return a job store whose calls are not affected by the faults of an entry."""
        clock = SimulationClock(self, None)
        settings = self.settings
        return JobStore(
            MarkedStore(self.platform, clock), clock, settings.index_buckets, settings.shard_items
        )

    def submit(self, items: int, poison_ratio: float = 0.0, invalid_ratio: float = 0.0) -> str:
        """Submit a job at random entries, one after the other, until one acknowledges it.

        :param poison_ratio: share of items that crash the target.
        :param invalid_ratio: share of lines that are malformed or name an unknown model.
        :return: the job's id.
        """
        self._batch_count += 1
        name = f"job-{self._batch_count}"
        data = b"\n".join(
            self._make_line(name, n, poison_ratio, invalid_ratio) for n in range(items)
        )
        caller = self.random.choice(CALLERS)
        while True:
            job = self._try_submit(caller, name, data)
            if job is not None:
                break
            self.run(self.random.uniform(100, 2_000))
        self.jobs[job["id"]] = {"caller": caller, "name": name, "data": data, "items": items}
        return job["id"]

    def resend(self, job_id: str) -> bool:
        """Submit an accepted job again.

        :return: ``False`` if the response named another job; ``True`` also without a response.
        """
        submitted = self.jobs[job_id]
        self.events["resend"] += 1
        job = self._try_submit(submitted["caller"], submitted["name"], submitted["data"])
        return job is None or job["id"] == job_id

    def cancel(self, job_id: str) -> bool:
        """Cancel a job at a random entry, and count and time the cancel if it took effect.

        :return: whether the entry answered.
        """
        caller = self.jobs[job_id]["caller"]
        try:
            answer = self._call_api(lambda api: api.cancel(caller, job_id))
        except StoreError:
            return False
        if answer is None:
            return False
        if answer["status"] in ("cancelling", "cancelled"):
            self.events["cancel"] += 1
            self.cancelled_ms.setdefault(job_id, self.now_ms)
        return True

    def record_item_start(self, trace_id: str) -> None:
        """Update the longest time from a cancel to the start of an item of the cancelled job."""
        job_id = trace_id.rpartition("/")[0]
        cancelled_ms = self.cancelled_ms.get(job_id)
        if cancelled_ms is not None:
            after_ms = self.now_ms - cancelled_ms
            self.max_start_after_cancel_ms = max(self.max_start_after_cancel_ms, after_ms)

    def have_all_jobs_ended(self) -> bool:
        """Return whether every accepted job has ended."""
        store = self.fault_free_job_store()
        return all(store.read_job(job_id).is_ended for job_id in self.jobs)

    def clear_faults(self) -> None:
        """End the platform's outage and all faults of entries and agents."""
        self.platform.faults.is_down = False
        for agent in self.agents:
            agent.clear_faults()
        for entry in self.entries:
            entry.clear_faults()

    def run_to_completion(self, timeout_ms: float) -> bool:
        """Clear all faults and run until every accepted job has ended.

        :param timeout_ms: longest simulated time to run.
        :return: whether the jobs ended in time.
        """
        self.clear_faults()
        end_ms = self.now_ms + timeout_ms
        while self.now_ms < end_ms:
            self.run(2_000)
            if self.have_all_jobs_ended():
                return True
        return False

    def _call_api(self, call: Callable[[BatchApi], object]):
        """Call the API of a random running entry.

        :return: ``None`` if no entry runs or the entry is killed before it answers.
        """
        running_entries = [entry for entry in self.entries if not entry.is_dead]
        if not running_entries:
            return None
        entry = self.random.choice(running_entries)
        process_number = entry.process_number
        try:
            return call(entry.api)
        except ProcessKilled:
            if process_number == entry.process_number:
                entry.kill()
            return None

    def _try_submit(self, caller: str, name: str, data: bytes):
        def submit(api: BatchApi):
            upload = api.save_file(caller, "batch", f"{name}.jsonl", data)
            fields = {"input_file_id": upload["id"], "endpoint": CHAT_PATH}
            return api.create(caller, fields, name)

        try:
            return self._call_api(submit)
        except StoreError:
            return None

    def _make_line(
        self, name: str, number: int, poison_ratio: float, invalid_ratio: float
    ) -> bytes:
        draw = self.random.random()
        if draw < invalid_ratio / 2:
            return b'{"custom_id": broken'
        prompt = f"{name} item {number}"
        if draw > 1 - poison_ratio:
            prompt += POISON_MARKER
        body = {
            "model": "unknown" if draw < invalid_ratio else self.random.choice(MODELS),
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": 4,
        }
        return encode({"custom_id": f"{name}-{number}", "url": CHAT_PATH, "body": body})
