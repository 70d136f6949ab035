"""Settings changes while several entries serve requests."""

from concurrent.futures import ThreadPoolExecutor
from threading import Event

from openai import OpenAI

from ebonyshore_standins.engine_model import expected_text
from ebonyshore_standins.local_fleet import LocalFleet

CHANGE_COUNT = 15
IN_FORCE_TIMEOUT_MS = 5_000


def test_no_request_is_refused_because_of_a_settings_change(fleet: LocalFleet) -> None:
    """Guards against refusals while entries and agents briefly have different revisions."""
    is_finished = Event()

    def ask(worker: int) -> list[tuple[str, str]]:
        entry = fleet.entries[worker % len(fleet.entries)]
        client = OpenAI(base_url=f"{entry.url}/v1", api_key=f"k{worker}", max_retries=0)
        mismatches = []
        number = 0
        while not is_finished.is_set():
            prompt = f"worker {worker} request {number}"
            answer = client.completions.create(model="reader", prompt=prompt, max_tokens=3)
            if answer.choices[0].text != expected_text(prompt, 3):
                mismatches.append((prompt, answer.choices[0].text))
            number += 1
        return mismatches

    with ThreadPoolExecutor(max_workers=8) as executor:
        answers = [executor.submit(ask, worker) for worker in range(8)]
        try:
            for number in range(CHANGE_COUNT):
                change_settings_and_wait(fleet, number)
        finally:
            is_finished.set()
    assert [answer.result() for answer in answers] == [[]] * 8


def change_settings_and_wait(fleet: LocalFleet, number: int) -> None:
    """Commit a change through one entry and wait until it is in force in all processes."""
    entry = fleet.entries[number % len(fleet.entries)]
    change = {
        "path": "/tiers/care",
        "values": {"request_timeout_ms": 20_000.0 + number},
        "operator": "test",
    }
    revision = entry.admin.post("/admin/v1/settings", change)["revision"]

    def is_in_force() -> bool:
        for other in fleet.entries:
            if other.admin.get("/admin/v1/settings")["revision"] < revision:
                return False
            targets = other.admin.get("/admin/v1/targets").values()
            if any(target["settings_revision"] < revision for target in targets):
                return False
        return True

    fleet.wait_until(is_in_force, IN_FORCE_TIMEOUT_MS)
