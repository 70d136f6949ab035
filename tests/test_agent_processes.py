"""Tests with real processes: requests that crash targets, and calls that must not be repeated."""

import subprocess
import sys
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection
from pathlib import Path

import pytest
from msgspec.json import decode, encode
from openai import APIStatusError, OpenAI

from ebonyshore_standins.engine_model import expected_text
from ebonyshore_standins.local_fleet import LocalFleet
from ebonyshore_standins.memory_platform import PlatformFaults

POISON = "notes CRASH-THE-ENGINE"
MAX_CRASHES = 2
MAX_ATTEMPTS = 4
CONVICTED = 40
SERVICE_DELAY_MS = 1_000.0


@pytest.fixture(scope="module")
def crash_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LocalFleet]:
    """Start three engines and two entries, with one tier."""
    with LocalFleet(tmp_path_factory.mktemp("crash")) as fleet:
        for domain in ("a", "b", "c"):
            fleet.add_engine(("reader",), domain)
        for domain in ("a", "b"):
            fleet.add_entry(domain)
        fleet.create_tier("care", ("reader",), max_attempts=8)
        yield fleet


def complete_with_retries(fleet: LocalFleet, number: int, prompt: str, tokens: int) -> str | int:
    """Complete a prompt, with at most ``MAX_ATTEMPTS`` attempts until it succeeds or is convicted.

    :param number: selects the entry.
    :return: the answer's text, or the result code of the last attempt.
    """
    client = OpenAI(base_url=f"{fleet.entries[number % 2].url}/v1", api_key="k", max_retries=0)
    code = 0
    for _ in range(MAX_ATTEMPTS):
        try:
            answer = client.completions.create(model="reader", prompt=prompt, max_tokens=tokens)
            return answer.choices[0].text
        except APIStatusError as error:
            code = int(error.response.headers["Ebonyshore-Code"])
        if code == CONVICTED:
            return code
        fleet.clock.sleep_ms(500)
    return code


def count_crashes(fleet: LocalFleet) -> int:
    return sum(
        target.admin.get("/admin/v1/dump")["metrics"]["counters"].get("target_crashes", 0)
        for target in fleet.targets
    )


def test_resent_poison_crashes_two_targets_at_most(crash_fleet: LocalFleet) -> None:
    """Guards against a third crash by copies sent through both entries with the platform down."""
    fleet = crash_fleet
    fleet.call_platform("PUT", "/control/faults", PlatformFaults(is_down=True))
    try:
        with ThreadPoolExecutor(max_workers=12) as callers:
            bystanders = [
                callers.submit(complete_with_retries, fleet, n, f"question {n}", 40)
                for n in range(6)
            ]
            poisoned = [
                callers.submit(complete_with_retries, fleet, n, POISON, 4) for n in range(6)
            ]
            texts = [future.result() for future in bystanders]
            codes = [future.result() for future in poisoned]
    finally:
        fleet.call_platform("PUT", "/control/faults", PlatformFaults())
    assert 1 <= count_crashes(fleet) <= MAX_CRASHES
    assert set(codes) == {CONVICTED}
    assert texts == [expected_text(f"question {n}", 40) for n in range(6)]


def test_restarted_agent_gets_the_verdicts_from_its_peers(crash_fleet: LocalFleet) -> None:
    fleet = crash_fleet
    target = fleet.targets[0]
    target.agent.kill()
    target.agent.wait()
    target.agent = fleet._start(
        "-m", "ebonyshore", "agent", "--settings", str(target.settings_path)
    )
    fleet.wait_for_port(target.port)

    def has_verdict() -> bool:
        verdicts = target.admin.get("/admin/v1/dump")["services"]["dispatcher"]["verdicts"]
        return any(verdict["convicted"] for verdict in verdicts)

    fleet.wait_until(has_verdict)


def test_no_repeat_call_runs_once_when_the_service_restarts(tmp_path: Path) -> None:
    runs_path = tmp_path / "runs.txt"
    with LocalFleet(tmp_path) as fleet:
        target = fleet.add_service("labels")
        restart_service(fleet, target, runs_path)
        fleet.add_entry("a")
        fleet.create_tier("care", ("labels",))
        fleet.wait_until(lambda: call_service(fleet, "warm")[0] == 200)
        with ThreadPoolExecutor() as callers:
            answer = callers.submit(call_service, fleet, "soap-7")
            fleet.wait_until(lambda: "soap-7" in runs_path.read_text())
            restart_service(fleet, target, runs_path)
            status, execution = answer.result()
        fleet.wait_until(lambda: call_service(fleet, "after")[0] == 200)
    assert status != 200 and execution == "maybe_run"
    assert Counter(runs_path.read_text().split())["soap-7"] == 1


def call_service(fleet: LocalFleet, label: str) -> tuple[int, str | None]:
    connection = HTTPConnection("127.0.0.1", fleet.entries[0].port, timeout=30)
    headers = {"Ebonyshore-No-Repeat": "true", "Authorization": "Bearer k"}
    connection.request("POST", "/services/labels/print", encode({"label": label}), headers)
    response = connection.getresponse()
    decode(response.read())
    connection.close()
    return response.status, response.getheader("Ebonyshore-Execution")


def restart_service(fleet: LocalFleet, target, runs_path: Path) -> None:
    """Kill the service and start it on the same port; it lists its runs in ``runs_path``."""
    target.target.kill()
    target.target.wait()
    target.target = subprocess.Popen(
        [
            *(sys.executable, "-m", "ebonyshore_standins.service_server"),
            *("--port", str(target.target_port), "--runs", str(runs_path)),
            *("--delay-ms", str(SERVICE_DELAY_MS)),
        ]
    )
    fleet._processes.append(target.target)
    fleet.wait_for_port(target.target_port)
