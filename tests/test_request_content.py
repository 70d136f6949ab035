"""Tests of the digest that identifies the content of a request."""

from re import fullmatch

from ebonyshore.host.job_types import ItemRecord, JobRecord
from ebonyshore.host.request_content import (
    MAX_PARTS,
    content_digest,
    part_digests,
)
from ebonyshore.http.headers import Headers
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


def test_parts_of_a_prompt_are_told_apart_but_for_the_last():
    assert part_digests("5C1e07a2:800, 91bd3f06:410,5c1e07a2:3,e4402b7d:250") == (
        "part-5c1e07a2",
        "part-91bd3f06",
    )
    assert part_digests("e4402b7d:250") == part_digests("") == part_digests(None) == ()


def test_parts_that_a_caller_makes_up_are_limited():
    names = [f"{number:x}:1" for number in range(2 * MAX_PARTS)]
    assert len(part_digests(",".join(names))) == MAX_PARTS
    long_id = "a" * 1_000
    digests = part_digests(f"{long_id}:1,{long_id}b:1,../x y:1,%0d:1,1:1")
    assert len(set(digests)) == 4
    assert all(fullmatch("part-[0-9a-f]{1,32}", digest) for digest in digests)


def test_parts_in_several_header_fields_are_one_list():
    headers = Headers([("Prompt-Prefix", "a:1,b:1"), ("prompt-prefix", "c:1")])
    assert part_digests(headers.get_joined("Prompt-Prefix")) == ("part-a", "part-b")
    assert headers.get_joined("absent") is None
