"""Names that differ from one deployment to another: headers, paths and query fields."""

from msgspec import Struct


class WireNames(Struct, frozen=True):
    """What callers and targets call things.

    :param request_id: header with the id of one attempt of a caller; targets echo it.
    :param remaining_ms: header with how long the caller, or the target, has left.
    :param expected_instance: header that makes any other target refuse the request.
    :param not_executed: header of a target's answer that says the request did not run.
    :param last_event_id: header with the last event of a stream that the caller has.
    :param signature: header that shows which target made an answer.
    :param wait_ms: header of a read that may wait for news.
    :param ready_path: path of the readiness check.
    :param jobs_path: start of the path of a batch job; its id follows.
    :param item_bodies_path: start of the path of a job's item bodies; the job's id follows.
    :param results_from: query field with the first position to read.
    :param item_id: query field with an item's id.
    """

    request_id: str
    remaining_ms: str
    expected_instance: str
    not_executed: str
    last_event_id: str
    signature: str
    wait_ms: str
    ready_path: str
    jobs_path: str
    item_bodies_path: str
    results_from: str
    item_id: str
