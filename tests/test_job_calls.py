"""The order in which an entry calls the runners, and where a runner reads results from."""

import pytest

from ebonyshore.gateway.job_call_forwarder import order_runners
from ebonyshore.host.job_types import JobRecord, ResultRecord, ResultSegment
from ebonyshore.link.job_call import JobCall, JobCallKind, decode_job_call
from ebonyshore.runner.result_writer import DUE_LINGER_MS, LINGER_MS, linger_ms
from tests.registry_setup import ITEMS, RegistrySetup, make_peer


def call_order(open_items_by_runner, owner=None, kind=JobCallKind.RESULTS):
    runners = order_runners(
        [make_peer("a"), make_peer("b"), make_peer("c")], open_items_by_runner, owner, kind
    )
    return [runner.instance_id for runner in runners]


def test_live_owner_is_called_first():
    assert call_order({"a": 0, "b": 0, "c": 0}, "b")[0] == "b"


def test_lost_owner_is_called_last():
    """Guards against a connection time-out to a lost instance at each read of a finished job."""
    assert call_order({"a": 0, "c": 0}, "b")[-1] == "b"
    assert call_order({}, "b")[0] == "b"


def test_new_job_goes_to_the_live_runner_with_the_fewest_open_items():
    assert call_order({"a": 9, "b": 2}, None, JobCallKind.SUBMIT) == ["b", "a", "c"]


@pytest.mark.parametrize(
    "call",
    [
        JobCall(JobCallKind.SUBMIT, "j/1", route_name="r", age_ms=3.5),
        JobCall(JobCallKind.RESULTS, "j1", first_position=7, wait_ms=500.0),
        JobCall(JobCallKind.ITEM_BODY, "j1", item_id="a b"),
    ],
)
def test_decoding_an_encoded_call_returns_the_same_call(call):
    assert decode_job_call(call.job_id, call.query_fields()) == call


def test_results_are_held_for_a_joint_write_only_until_they_are_nearly_due():
    record = JobRecord("j1", "h", "/p/", 0, 60_000.0, 18_000.0, 3, ITEMS)
    assert linger_ms(record, 10_000) == LINGER_MS
    assert linger_ms(record, 16_000) == DUE_LINGER_MS


def test_owner_heard_by_every_runner_answers_from_memory():
    setup = RegistrySetup()
    setup.receive_report("a", sequence=1)
    assert setup.read() is not None
    assert setup.storage.reads == 0


def test_owner_that_may_have_been_replaced_reads_the_store_first():
    """Guards against a response without results that a caller has read before, from an owner that
    was cut off from the other runners."""
    setup = RegistrySetup()
    setup.receive_report(sequence=1)
    setup.storage.stored = [ResultSegment((ResultRecord(0, True, "d"),))]
    assert setup.read().listed_count == 1
    setup.receive_report("a", sequence=2)
    setup.clock.advance_ms(600.0)
    setup.read()
    assert setup.storage.reads == 2


def test_finished_job_is_read_from_the_store_only_once():
    """Guards against a billed call to the store for each read of a job whose owner is gone."""
    setup = RegistrySetup(owner="gone")
    setup.storage.stored = [ResultSegment((ResultRecord(0, True, "d"), ResultRecord(1, True, "e")))]
    assert [setup.read().is_finished for _ in range(3)] == [True, True, True]
    assert setup.storage.reads == 1


def test_runner_names_a_live_owner_in_place_of_reading_the_store():
    """Guards against a billed call to the store for each read that reaches another runner."""
    setup = RegistrySetup(owner="b")
    assert setup.registry.live_owner("j1") is None
    setup.receive_report("a", sequence=1)
    assert setup.registry.live_owner("j1") == "b"
    assert setup.registry.live_owner("unknown") is None
    setup.clock.advance_ms(600.0)
    assert setup.registry.live_owner("j1") is None


def test_owner_does_not_redirect_reads_of_its_own_jobs():
    setup = RegistrySetup()
    setup.receive_report("a", sequence=1)
    assert setup.registry.live_owner("j1") is None
