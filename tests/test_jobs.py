"""Tests of the submission of jobs and of the audit of stored records."""

from collections.abc import Callable

import pytest
from msgspec.json import decode, encode

from ebonyshore.batch.audit import Auditor, AuditReport
from ebonyshore.batch.jobs import job_key, shard_prefix
from ebonyshore.frame.errors import (
    RequestError,
    StoreError,
    StoreUnavailableError,
    WriteOutcomeUnknownError,
)
from ebonyshore.frame.result_codes import Execution, ResultCode
from ebonyshore.settings.settings_store import SettingsStore
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore_standins.batch_simulation import CHAT_PATH, BatchSimulation
from ebonyshore_standins.simulation_clock import SimulationClock

ITEMS = 100


@pytest.fixture
def simulation() -> BatchSimulation:
    return BatchSimulation(5, entries=2)


def make_lines(count: int, model: str = "writer") -> bytes:
    body = {"model": model, "messages": [{"role": "user", "content": "x"}], "max_tokens": 2}
    return b"\n".join(
        encode({"custom_id": f"c{n}", "url": CHAT_PATH, "body": body}) for n in range(count)
    )


def create_job(
    simulation: BatchSimulation, entry: int, data: bytes, key: str = "", **fields: object
) -> str:
    api = simulation.entries[entry].api
    upload = api.save_file("bakery", "batch", "f.jsonl", data)
    request = {"input_file_id": upload["id"], "endpoint": CHAT_PATH, **fields}
    return api.create("bakery", request, key)["id"]


def run_audit(simulation: BatchSimulation) -> AuditReport:
    settings = SettingsStore(
        MarkedStore(simulation.platform, SimulationClock(simulation, None)), None
    )
    return Auditor(simulation.fault_free_job_store(), settings).run()


def change_record(simulation: BatchSimulation, key: str, change: Callable[[dict], None]) -> None:
    stored = simulation.platform.get(key)
    envelope = decode(stored.value)
    change(envelope["body"])
    simulation.platform.put(key, encode(envelope), stored.version)


def find_first_key(simulation: BatchSimulation, prefix: str) -> str:
    return simulation.platform.list_keys(prefix)[0].key


def test_repeated_submission_at_another_entry_is_the_same_job(simulation: BatchSimulation) -> None:
    metadata = {"a": "1", "b": "2"}
    reordered = {"b": "2", "a": "1"}
    first = create_job(simulation, 0, make_lines(3), metadata=metadata)
    assert create_job(simulation, 1, make_lines(3), metadata=reordered) == first
    assert create_job(simulation, 1, make_lines(3)) != first
    assert create_job(simulation, 0, make_lines(3), "k") == create_job(
        simulation, 1, make_lines(3), "k"
    )


def test_idempotency_key_with_other_content_is_refused(simulation: BatchSimulation) -> None:
    create_job(simulation, 0, make_lines(3), "k")
    with pytest.raises(RequestError) as raised:
        create_job(simulation, 1, make_lines(4), "k")
    assert raised.value.code is ResultCode.IDEMPOTENCY_MISMATCH


@pytest.mark.parametrize("metadata", [{"a": 1}, ["a"], {"a": {"b": "c"}}])
def test_metadata_of_other_types_than_text_is_refused(
    simulation: BatchSimulation, metadata: object
) -> None:
    """Guards against a stored job that no entry can decode."""
    with pytest.raises(RequestError):
        create_job(simulation, 0, make_lines(3), metadata=metadata)


def test_submission_while_the_store_is_down_is_not_run(simulation: BatchSimulation) -> None:
    create_job(simulation, 0, make_lines(3))
    simulation.platform.faults.is_down = True
    with pytest.raises(StoreError) as raised:
        create_job(simulation, 0, make_lines(3))
    assert raised.value.execution is Execution.NOT_RUN
    assert raised.value.retry_after_ms


@pytest.mark.parametrize(
    ("prefix", "error"), [("jobs/", WriteOutcomeUnknownError), ("index/", StoreUnavailableError)]
)
def test_submission_that_may_be_stored_is_maybe_run(
    simulation: BatchSimulation, prefix: str, error: type[StoreError]
) -> None:
    """Guards against ``not_run`` for a job that may be stored and that a repetition would start."""
    put = simulation.platform.put

    def fail(key: str, value: bytes, expected_version: int) -> int:
        if key.startswith(prefix):
            raise error(key)
        return put(key, value, expected_version)

    simulation.platform.put = fail
    with pytest.raises(StoreError) as raised:
        create_job(simulation, 0, make_lines(3))
    assert raised.value.execution is Execution.MAYBE_RUN
    assert raised.value.retry_after_ms
    simulation.platform.put = put
    job_id = create_job(simulation, 1, make_lines(3))
    simulation.jobs[job_id] = {}
    assert simulation.run_to_completion(60_000)


def test_valid_lines_of_a_file_with_an_invalid_first_line_are_run(
    simulation: BatchSimulation,
) -> None:
    data = b"{\n" + make_lines(3) + b"\n" + make_lines(1)
    job_id = create_job(simulation, 0, data)
    simulation.jobs[job_id] = {}
    assert simulation.run_to_completion(60_000)
    job = simulation.fault_free_job_store().read_job(job_id)
    assert (job.completed_items, job.failed_items) == (3, 2)


def test_file_without_a_known_model_is_refused(simulation: BatchSimulation) -> None:
    with pytest.raises(RequestError) as raised:
        create_job(simulation, 0, make_lines(3, model="lost"))
    assert raised.value.code is ResultCode.UNKNOWN_MODEL


def change_answer(body: dict) -> None:
    body["outcomes"][0]["body"] = '{"choices":[]}'


def remove_outcome(body: dict) -> None:
    del body["outcomes"][0]


def increment_completed(body: dict) -> None:
    body["completed_items"] += 1


def remove_segment(body: dict) -> None:
    body["segments"].pop()


@pytest.mark.parametrize(
    ("prefix", "change"),
    [
        ("segments/", change_answer),
        ("segments/", remove_outcome),
        ("shards/", increment_completed),
        ("shards/", remove_segment),
        ("jobs/", increment_completed),
    ],
)
def test_audit_finds_a_changed_record(
    simulation: BatchSimulation, prefix: str, change: Callable[[dict], None]
) -> None:
    simulation.submit(ITEMS)
    assert simulation.run_to_completion(60_000)
    report = run_audit(simulation)
    assert report.is_clean
    assert report.completed == ITEMS
    change_record(simulation, find_first_key(simulation, prefix), change)
    assert not run_audit(simulation).is_clean


def test_audit_finds_deleted_records(simulation: BatchSimulation) -> None:
    job_id = simulation.submit(ITEMS)
    assert simulation.run_to_completion(60_000)
    key = find_first_key(simulation, "segments/")
    simulation.platform.delete(key, simulation.platform.get(key).version)
    report = run_audit(simulation)
    assert report.lost > 0
    assert report.faults
    key = job_key(job_id)
    simulation.platform.delete(key, simulation.platform.get(key).version)
    assert any(shard_prefix(job_id) in fault for fault in run_audit(simulation).faults)
