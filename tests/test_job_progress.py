"""Tests of the item states and the listed results of one batch job."""

from ebonyshore.host.job_types import ItemRecord, JobRecord, ResultRecord, ResultSegment
from ebonyshore.runner.job_progress import MAX_SEGMENT_BYTES, ItemState, JobProgress


def make_progress(items=3, **changes):
    records = tuple(ItemRecord(f"i{n}", "/p/x", (), b"b") for n in range(items))
    return JobProgress(JobRecord("j1", "h", "/p/", 0, 60_000.0, 18_000.0, 3, records, **changes))


def end_item(job, index, data="text"):
    job.items[index].data = [data]
    job.end_item(job.items[index], True, 0.0)


def test_a_result_is_listed_only_after_it_is_stored():
    """Guards against a result that a caller has read, but that is lost when the process ends."""
    job = make_progress()
    end_item(job, 1)
    assert job.result_page(0).results == ()
    job.apply_segment(job.build_segment())
    assert [result.item_id for result in job.result_page(0).results] == ["i1"]
    assert job.result_page(0).next_position == 1 and job.result_page(0).total == 3


def test_an_item_that_another_runner_has_listed_is_not_listed_again():
    """Guards against listing an item at two positions after a change of owner."""
    job = make_progress()
    end_item(job, 0, "mine")
    job.apply_segment(ResultSegment((ResultRecord(0, True, "theirs"),)))
    assert job.pending_count == 0
    job.apply_segment(ResultSegment((ResultRecord(0, True, "again"),)))
    assert [result.data for result in job.result_page(0).results] == ["theirs"]


def test_a_late_result_of_a_listed_item_is_ignored():
    job = make_progress()
    job.apply_segment(ResultSegment((ResultRecord(0, True, "theirs"),)))
    end_item(job, 0, "mine")
    assert job.pending_count == 0 and job.items[0].state is ItemState.LISTED


def test_a_segment_stays_below_the_size_limit_of_a_stored_object():
    job = make_progress()
    for index in range(3):
        end_item(job, index, "x" * (MAX_SEGMENT_BYTES // 2 + 1))
    first = job.build_segment()
    assert len(first.results) == 1
    job.apply_segment(first)
    assert job.pending_count == 2


def test_the_next_owner_knows_the_failures_of_an_item():
    """Guards against an item that fails at each run and is repeated by every owner of its job."""
    former, successor = make_progress(), make_progress()
    for failures in (1, 2):
        former.record_failure(former.items[1], 0.0)
        segment = former.build_segment()
        former.apply_segment(segment)
        successor.apply_segment(segment)
        assert successor.items[1].failures == failures
    assert not former.has_unsaved_failures
    former.record_failure(former.items[1], 0.0)
    assert former.has_unsaved_failures


def test_failures_of_an_item_with_a_result_are_not_stored():
    job = make_progress()
    job.record_failure(job.items[0], 0.0)
    job.end_item(job.items[0], False, 0.0)
    segment = job.build_segment()
    assert [result.is_complete for result in segment.results] == [False]
    assert segment.failures == ()
    job.apply_segment(segment)
    assert not job.has_unsaved_failures


def test_a_cancelled_job_has_no_items_to_run():
    job = make_progress(is_cancelled=True)
    assert list(job.runnable_items(0.0)) == [] and job.open_count == 0


def test_items_are_given_up_only_after_the_retention_time():
    job = make_progress()
    assert not job.is_past_retention(60_000.0)
    assert job.is_past_retention(60_001.0)
