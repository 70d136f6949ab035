"""Positions and results of one batch job."""

from ebonyshore.host.job_types import ItemRecord, JobRecord, ResultRecord, ResultSegment
from ebonyshore.runner.job_progress import MAX_SEGMENT_BYTES, ItemState, JobProgress


def progress(items=3, **changes):
    records = tuple(ItemRecord(f"i{n}", "/p/x", (), b"b") for n in range(items))
    return JobProgress(JobRecord("j1", "h", "/p/", 0, 60_000.0, 18_000.0, 3, records, **changes))


def end(job, index, data="text"):
    job.items[index].data = [data]
    job.end_item(job.items[index], True, 0.0)


def test_a_result_is_shown_only_once_it_is_stored():
    """Guards against a result that was read and is lost with its process."""
    job = progress()
    end(job, 1)
    assert job.result_page(0).results == ()
    job.apply_segment(job.build_segment())
    assert [result.item_id for result in job.result_page(0).results] == ["i1"]
    assert job.result_page(0).next_position == 1 and job.result_page(0).total == 3


def test_an_item_that_another_runner_has_listed_is_not_listed_again():
    """Guards against an item at two positions after a change of owner."""
    job = progress()
    end(job, 0, "mine")
    job.apply_segment(ResultSegment((ResultRecord(0, True, "theirs"),)))
    assert job.pending_count == 0
    job.apply_segment(ResultSegment((ResultRecord(0, True, "again"),)))
    assert [result.data for result in job.result_page(0).results] == ["theirs"]


def test_a_late_end_of_a_listed_item_changes_nothing():
    job = progress()
    job.apply_segment(ResultSegment((ResultRecord(0, True, "theirs"),)))
    end(job, 0, "mine")
    assert job.pending_count == 0 and job.items[0].state is ItemState.LISTED


def test_a_segment_stays_under_the_size_of_an_object():
    job = progress()
    for index in range(3):
        end(job, index, "x" * (MAX_SEGMENT_BYTES // 2 + 1))
    first = job.build_segment()
    assert len(first.results) == 1
    job.apply_segment(first)
    assert job.pending_count == 2


def test_a_cancelled_job_has_nothing_to_run():
    job = progress(is_cancelled=True)
    assert list(job.runnable_items(0.0)) == [] and job.open_count == 0


def test_items_are_given_up_only_after_their_time():
    job = progress()
    assert not job.is_past_retention(60_000.0)
    assert job.is_past_retention(60_001.0)
