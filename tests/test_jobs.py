"""Acceptance of jobs, and the audit of what was stored."""

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
from ebonyshore_standins.batch_simulation import CHAT_PATH, BatchSimulation, SimulationClock

ITEMS = 100


@pytest.fixture
def world() -> BatchSimulation:
    return BatchSimulation(5, entries=2)


def lines(count: int, model: str = "writer") -> bytes:
    body = {"model": model, "messages": [{"role": "user", "content": "x"}], "max_tokens": 2}
    return b"\n".join(
        encode({"custom_id": f"c{n}", "url": CHAT_PATH, "body": body}) for n in range(count)
    )


def create(world: BatchSimulation, entry: int, data: bytes, key: str = "", **fields: object) -> str:
    api = world.entries[entry].api
    upload = api.save_file("bakery", "batch", "f.jsonl", data)
    request = {"input_file_id": upload["id"], "endpoint": CHAT_PATH, **fields}
    return api.create("bakery", request, key)["id"]


def audit(world: BatchSimulation) -> AuditReport:
    settings = SettingsStore(MarkedStore(world.platform, SimulationClock(world, None)), None)
    return Auditor(world.fault_free_job_store(), settings).run()


def alter(world: BatchSimulation, key: str, change: Callable[[dict], None]) -> None:
    stored = world.platform.get(key)
    envelope = decode(stored.value)
    change(envelope["body"])
    world.platform.put(key, encode(envelope), stored.version)


def first_key(world: BatchSimulation, prefix: str) -> str:
    return world.platform.list_keys(prefix)[0].key


def test_resend_to_another_entry_is_the_same_job(world: BatchSimulation) -> None:
    metadata = {"a": "1", "b": "2"}
    reordered = {"b": "2", "a": "1"}
    first = create(world, 0, lines(3), metadata=metadata)
    assert create(world, 1, lines(3), metadata=reordered) == first
    assert create(world, 1, lines(3)) != first
    assert create(world, 0, lines(3), "k") == create(world, 1, lines(3), "k")


def test_key_with_other_content_is_an_error(world: BatchSimulation) -> None:
    create(world, 0, lines(3), "k")
    with pytest.raises(RequestError) as refusal:
        create(world, 1, lines(4), "k")
    assert refusal.value.code is ResultCode.IDEMPOTENCY_MISMATCH


@pytest.mark.parametrize("metadata", [{"a": 1}, ["a"], {"a": {"b": "c"}}])
def test_metadata_that_could_not_be_read_back_is_refused(
    world: BatchSimulation, metadata: object
) -> None:
    """Guards against a stored job that no entry can decode."""
    with pytest.raises(RequestError):
        create(world, 0, lines(3), metadata=metadata)


def test_refusal_of_a_store_that_is_down_is_not_run(world: BatchSimulation) -> None:
    create(world, 0, lines(3))
    world.platform.faults.is_down = True
    with pytest.raises(StoreError) as refusal:
        create(world, 0, lines(3))
    assert refusal.value.execution is Execution.NOT_RUN
    assert refusal.value.retry_after_ms


@pytest.mark.parametrize(
    ("prefix", "error"), [("jobs/", WriteOutcomeUnknownError), ("index/", StoreUnavailableError)]
)
def test_submission_of_unknown_outcome_is_maybe_run(
    world: BatchSimulation, prefix: str, error: type[StoreError]
) -> None:
    """Guards against ``not_run`` for a job that is durable and that a resend would start."""
    put = world.platform.put

    def fail(key: str, value: bytes, expected_version: int) -> int:
        if key.startswith(prefix):
            raise error(key)
        return put(key, value, expected_version)

    world.platform.put = fail
    with pytest.raises(StoreError) as refusal:
        create(world, 0, lines(3))
    assert refusal.value.execution is Execution.MAYBE_RUN
    assert refusal.value.retry_after_ms
    world.platform.put = put
    job_id = create(world, 1, lines(3))
    world.jobs[job_id] = {}
    assert world.run_to_completion(60_000)


def test_file_whose_first_line_is_bad_is_accepted_and_the_rest_finishes(
    world: BatchSimulation,
) -> None:
    data = b"{\n" + lines(3) + b"\n" + lines(1)
    job_id = create(world, 0, data)
    world.jobs[job_id] = {}
    assert world.run_to_completion(60_000)
    job = world.fault_free_job_store().read_job(job_id)
    assert (job.completed_items, job.failed_items) == (3, 2)


def test_file_without_any_known_model_is_refused(world: BatchSimulation) -> None:
    with pytest.raises(RequestError) as refusal:
        create(world, 0, lines(3, model="lost"))
    assert refusal.value.code is ResultCode.UNKNOWN_MODEL


def rewrite_answer(body: dict) -> None:
    body["outcomes"][0]["body"] = '{"choices":[]}'


def drop_outcome(body: dict) -> None:
    del body["outcomes"][0]


def count_one_more(body: dict) -> None:
    body["completed_items"] += 1


def drop_segment(body: dict) -> None:
    body["segments"].pop()


@pytest.mark.parametrize(
    ("prefix", "change"),
    [
        ("segments/", rewrite_answer),
        ("segments/", drop_outcome),
        ("shards/", count_one_more),
        ("shards/", drop_segment),
        ("jobs/", count_one_more),
    ],
)
def test_audit_finds_an_altered_record(
    world: BatchSimulation, prefix: str, change: Callable[[dict], None]
) -> None:
    world.submit(ITEMS)
    assert world.run_to_completion(60_000)
    report = audit(world)
    assert report.is_clean
    assert report.completed == ITEMS
    alter(world, first_key(world, prefix), change)
    assert not audit(world).is_clean


def test_audit_finds_deleted_records(world: BatchSimulation) -> None:
    job_id = world.submit(ITEMS)
    assert world.run_to_completion(60_000)
    key = first_key(world, "segments/")
    world.platform.delete(key, world.platform.get(key).version)
    report = audit(world)
    assert report.lost > 0
    assert report.faults
    key = job_key(job_id)
    world.platform.delete(key, world.platform.get(key).version)
    assert any(shard_prefix(job_id) in fault for fault in audit(world).faults)
