"""Tests of the digest that identifies the content of a request."""

from ebonyshore.host.job_types import ItemRecord, JobRecord
from ebonyshore.host.request_content import content_digest
from ebonyshore.runner.job_progress import JobProgress


def test_sends_of_one_request_have_one_digest():
    first = content_digest("Host.example:8080", "POST", "/p/x?n=1", b"body")
    assert first == content_digest("host.example", "POST", "/p/x?n=1", b"body")


def test_requests_that_differ_have_different_digests():
    digests = {
        content_digest("a.example", "POST", "/p/x", b"body"),
        content_digest("b.example", "POST", "/p/x", b"body"),
        content_digest("a.example", "GET", "/p/x", b"body"),
        content_digest("a.example", "POST", "/p/x?n=1", b"body"),
        content_digest("a.example", "POST", "/p/x", b"other"),
    }
    assert len(digests) == 5


def test_an_item_has_the_digest_of_the_request_that_runs_it():
    items = (ItemRecord("i0", "/p/x", (), b"stored"), ItemRecord("i1", "/p/y", (), b""))
    record = JobRecord("j1", "host.example", "/p/j1", 0, 0.0, 0.0, 3, items)
    progress = JobProgress(record, {1: b"stored separately"})
    digests = [progress.content_digest(item) for item in progress.items]
    assert digests == [
        content_digest("host.example", "POST", "/p/x", b"stored"),
        content_digest("host.example", "POST", "/p/y", b"stored separately"),
    ]
