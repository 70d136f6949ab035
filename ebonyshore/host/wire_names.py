"""Names that depend on the deployment: headers, paths and query fields."""

from msgspec import Struct


class WireNames(Struct, frozen=True):
    """Names in the HTTP interfaces to callers and targets.

    :param request_id: header with the id of one attempt of a caller; targets echo it.
    :param remaining_ms: header with the time left until the deadline of the request, in ms.
    :param expected_instance: header with the id of the target that the request is meant for; other
        targets refuse it.
    :param not_executed: header in a target's response stating that the request did not run.
    :param leaving: header with which a target says in any response that it leaves.
    :param rate_limit: header in which a target names the requests a second that it takes from all
        processes together, for as long as its responses have it.
    :param instance_id: header with the id of the target that sends a response; not in all of them.
    :param last_event_id: header with the id of the last event of a stream that the caller has
        received.
    :param resumed_request: header with the id of the attempt that brought the first event of the
        stream which the request continues.
    :param prompt_parts: header that lists the parts of a request's prompt, see
        :func:`~ebonyshore.host.request_content.part_digests`.
    :param signature: header that identifies the target that generated a response.
    :param wait_ms: header with the time that a read of results may wait for new ones, in ms.
    :param account: header that tells a target the caller's client account.
    :param ready_path: path of the health check.
    :param report_path: path of a target's load report, which it answers also when it is full.
    :param jobs_path: path prefix of a batch job; followed by its id.
    :param item_bodies_path: path prefix of the bodies of a job's items; followed by the job's id.
    :param results_from: query field with the first position to read.
    :param item_id: query field with the id of an item.
    """

    request_id: str
    remaining_ms: str
    expected_instance: str
    not_executed: str
    leaving: str
    rate_limit: str
    instance_id: str
    last_event_id: str
    resumed_request: str
    prompt_parts: str
    signature: str
    wait_ms: str
    account: str
    ready_path: str
    report_path: str
    jobs_path: str
    item_bodies_path: str
    results_from: str
    item_id: str
