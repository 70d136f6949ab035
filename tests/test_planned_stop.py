"""Step definitions of ``planned_stop.feature``, run with real processes."""

from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

import pytest
from msgspec.json import encode
from openai import OpenAI
from pytest_bdd import given, parsers, scenarios, then, when

from ebonyshore_standins.engine_model import expected_text
from ebonyshore_standins.local_fleet import LocalFleet

CHAT_PATH = "/v1/chat/completions"
STREAM_TOKENS = 60
EXIT_TIMEOUT_S = 30
# Well below the default lease interval of 20 s, after which another entry takes a shard over.
HANDOVER_BOUND_MS = 15_000

scenarios("features/planned_stop.feature")


@pytest.fixture
def thread_pool() -> Iterator[ThreadPoolExecutor]:
    with ThreadPoolExecutor(max_workers=16) as executor:
        yield executor


@given("a fleet with two engines and two entries", target_fixture="fleet")
def fleet(tmp_path: Path) -> Iterator[LocalFleet]:
    with LocalFleet(tmp_path) as local_fleet:
        for domain in ("a", "b"):
            local_fleet.add_engine(("reader",), domain)
        for domain in ("a", "b"):
            local_fleet.add_entry(domain)
        local_fleet.create_tier("care", ("reader",))
        yield local_fleet


def make_client(fleet: LocalFleet, number: int) -> OpenAI:
    return OpenAI(base_url=f"{fleet.entries[number].url}/v1", api_key="k", max_retries=0)


def read_stream(client: OpenAI, prompt: str, started: list[str]) -> str:
    stream = client.completions.create(
        model="reader", prompt=prompt, max_tokens=STREAM_TOKENS, stream=True
    )
    texts = []
    for event in stream:
        if not texts:
            started.append(prompt)
        texts.append(event.choices[0].text)
    return "".join(texts)


@given(parsers.parse("{count:d} streams that are being answered"), target_fixture="answers")
def start_streams(
    fleet: LocalFleet, thread_pool: ThreadPoolExecutor, count: int
) -> dict[str, Future[str]]:
    started: list[str] = []
    client = make_client(fleet, 0)
    answers = {
        f"prompt {number}": thread_pool.submit(read_stream, client, f"prompt {number}", started)
        for number in range(count)
    }
    fleet.wait_until(lambda: len(started) == count)
    return answers


@given(parsers.parse("a batch of {count:d} items that is running"), target_fixture="batch_id")
def start_batch(fleet: LocalFleet, count: int) -> str:
    lines = []
    for number in range(count):
        body = {"model": "reader", "messages": [{"role": "user", "content": f"n {number}"}]}
        item = {"custom_id": f"c{number}", "method": "POST", "url": CHAT_PATH, "body": body}
        lines.append(encode(item))
    client = make_client(fleet, 1)
    upload = client.files.create(file=("items.jsonl", b"\n".join(lines)), purpose="batch")
    batch = client.batches.create(
        input_file_id=upload.id, endpoint=CHAT_PATH, completion_window="1h"
    )
    fleet.wait_until(lambda: _running_batch_items(fleet) > 0)
    return batch.id


def _running_batch_items(fleet: LocalFleet) -> int:
    views = fleet.entries[1].admin.get("/admin/v1/targets").values()
    return sum(view["load"]["batch_running"] for view in views)


@when("the entry is drained")
def drain_entry(fleet: LocalFleet) -> None:
    fleet.entries[0].admin.post("/admin/v1/drain", {})


@when("the agent is drained")
def drain_agent(fleet: LocalFleet) -> None:
    fleet.targets[0].admin.post("/admin/v1/drain", {})


@then("every stream ends with its whole answer")
def check_answers(answers: dict[str, Future[str]]) -> None:
    texts = {prompt: answer.result() for prompt, answer in answers.items()}
    assert texts == {prompt: expected_text(prompt, STREAM_TOKENS) for prompt in texts}


@then("the entry exits with status 0")
def check_entry_exit(fleet: LocalFleet) -> None:
    assert fleet.entries[0].process.wait(EXIT_TIMEOUT_S) == 0


@then("the agent exits with status 0")
def check_agent_exit(fleet: LocalFleet) -> None:
    assert fleet.targets[0].agent.wait(EXIT_TIMEOUT_S) == 0


@then("the batch completes with one outcome for each item")
def check_batch(fleet: LocalFleet, batch_id: str) -> None:
    client = make_client(fleet, 1)

    def has_completed() -> bool:
        return client.batches.retrieve(batch_id).status == "completed"

    fleet.wait_until(has_completed, HANDOVER_BOUND_MS)
    report = fleet.entries[1].admin.get("/admin/v1/audit")
    assert report["line"].endswith("failed=0 cancelled=0 duplicated=0 lost=0")
    assert report["completed"] == 300


@then("no shard had to wait for its lease to lapse")
def check_handover(fleet: LocalFleet) -> None:
    """Check that the entry has exited.

    The time limit of the preceding step is below the lease interval, so no lease has expired.
    """
    assert fleet.entries[0].process.wait(EXIT_TIMEOUT_S) == 0
