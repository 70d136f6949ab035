"""Callers of the soak: streams, requests that must not be repeated, jobs, configurations."""

import json
import time
from collections.abc import Callable
from http.client import HTTPException
from random import Random
from threading import Event, Thread

from ebonyshore_soak.checker import REFUSAL_STATUSES, PromiseChecker
from ebonyshore_standins.platform_fleet import (
    BATCH_PREFIX,
    ONCE_PREFIX,
    STREAM_PREFIX,
    FleetProcess,
    PlatformFleet,
    job_body,
    make_config,
    route,
)

ITEM_EVENTS = 25
STREAM_EVENTS = 12
CALL_TIMEOUT_S = 6.0
JOB_ITEMS = 8
MAX_SENDS = 8


class Clients:
    """Runs all callers until told to stop.

    :param seed: of their choices.
    """

    def __init__(self, fleet: PlatformFleet, checker: PromiseChecker, seed: int) -> None:
        self._fleet = fleet
        self._checker = checker
        self._seed = seed
        self._is_over = Event()
        self._threads: list[Thread] = []
        self._numbers = iter(range(1, 1 << 30))
        self.config_version = 1

    def start(self) -> None:
        """Begin to call."""
        for number in range(3):
            self._start(self._ask_streams, number)
        self._start(self._ask_once, 10)
        self._start(self._submit_jobs, 20)
        self._start(self._submit_jobs, 21)
        self._start(self._change_config, 30)

    def stop(self) -> None:
        """Stop and wait for the callers."""
        self._is_over.set()
        for thread in self._threads:
            thread.join(60)

    def read_all(self, job_id: str, first: int = 0) -> bool:
        """Read on in a job at any entry; return whether all of it was read."""
        random = Random(f"{self._seed}/{job_id}/{first}")
        entry = random.choice(self._fleet.entries)
        answer = self._call(entry, "GET", f"/ebonyshore/lots/{job_id}?After={first}")
        if answer is None or answer[0] == 503:
            return False
        if answer[0] != 200:
            self._checker.report_violation(f"job {job_id}: read answered {answer[0]}")
            return False
        page = json.loads(answer[2])
        self._checker.note_page(job_id, first, page)
        return first + len(page["Results"]) == page["Total"]

    def _start(self, run: Callable[[Random], None], number: int) -> None:
        thread = Thread(target=run, args=(Random(f"{self._seed}/{number}"),), daemon=True)
        self._threads.append(thread)
        thread.start()

    def _call(
        self,
        entry: FleetProcess,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> tuple[int, dict[str, str], bytes] | None:
        try:
            return entry.call(method, path, headers, body, CALL_TIMEOUT_S)
        except (OSError, HTTPException):
            self._checker.count("calls_without_answer")
            return None

    def _ask(self, random: Random, prefix: str, name: str) -> None:
        request_id = f"{name}-{next(self._numbers)}"
        headers = {
            "Attempt-Id": request_id,
            "Deadline-Ms": "5000",
            "Length-Hint": str(STREAM_EVENTS),
        }
        entry = random.choice(self._fleet.entries)
        answer = self._call(entry, "POST", f"{prefix}x", headers, b"question")
        if answer is None:
            return
        status, _, body = answer
        if status == 200:
            lines = body.decode().split("\n")
            data = "\n".join(line[6:] for line in lines if line.startswith("data: "))
            self._checker.note_stream(request_id, STREAM_EVENTS, data)
        elif status in REFUSAL_STATUSES and name == "once":
            self._checker.refused_once.add(request_id)
        elif status == 404:
            self._checker.report_violation(f"request {request_id}: answered 404")
        self._checker.count(f"{name}_{status}")

    def _ask_streams(self, random: Random) -> None:
        while not self._is_over.wait(random.uniform(0.0, 0.1)):
            self._ask(random, STREAM_PREFIX, "stream")

    def _ask_once(self, random: Random) -> None:
        while not self._is_over.wait(random.uniform(0.0, 0.1)):
            self._ask(random, ONCE_PREFIX, "once")

    def _submit_jobs(self, random: Random) -> None:
        while not self._is_over.wait(random.uniform(0.2, 0.8)):
            job_id = f"job{next(self._numbers)}"
            if self._submit(random, job_id):
                self._follow(random, job_id)

    def _submit(self, random: Random, job_id: str) -> bool:
        """Send a job until it is accepted, as callers do."""
        body = job_body(job_id, JOB_ITEMS, ITEM_EVENTS)
        headers = {"Attempt-Id": job_id}
        for _ in range(MAX_SENDS):
            entry = random.choice(self._fleet.entries)
            answer = self._call(entry, "POST", f"{BATCH_PREFIX}{job_id}", headers, body)
            if answer is not None and answer[0] == 202:
                self._checker.accepted[job_id] = JOB_ITEMS
                self._checker.count("jobs_accepted")
                return True
            if answer is None or answer[0] != 503:
                self._checker.refused_jobs.pop(job_id, None)
                self._checker.count("jobs_unsure")
                return False
            self._checker.refused_jobs[job_id] = JOB_ITEMS
            time.sleep(0.3)
        self._checker.count("jobs_refused")
        return False

    def _follow(self, random: Random, job_id: str) -> None:
        """Read a job for a while, from any position; end some."""
        if random.random() < 0.2:
            entry = random.choice(self._fleet.entries)
            answer = self._call(entry, "DELETE", f"/ebonyshore/lots/{job_id}")
            # Without an answer it may be ended all the same.
            self._checker.cancelled[job_id] = time.monotonic()
            self._checker.count("ends_sure" if answer and answer[0] == 200 else "ends_unsure")
        for _ in range(3):
            time.sleep(random.uniform(0.1, 0.4))
            self.read_all(job_id, random.randrange(self._checker.listed_count(job_id) + 1))

    def _change_config(self, random: Random) -> None:
        while not self._is_over.wait(random.uniform(0.5, 2.0)):
            self.config_version += random.randint(1, 3)
            added = route("new", f"/c{self.config_version}/", "streaming")
            config = make_config(self.config_version, added)
            self._fleet.platform.state.put("config", "main", config)
