"""Batch jobs and their results, as they are submitted, stored and read."""

from msgspec import Struct


class ItemRecord(Struct, frozen=True, array_like=True):
    """One item of a job.

    :param item_id: id of the item, given by the caller.
    :param path: path of the request to a target.
    :param headers: headers of that request.
    :param body: body of that request; empty in a job record whose bodies are stored separately.
    :param tokens: tokens of the prompt plus the maximum number of output tokens.
    """

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int = 0


class JobSubmission(Struct, frozen=True):
    """A job as a caller submits it."""

    items: tuple[ItemRecord, ...]


class JobRecord(Struct, frozen=True):
    """A job as it is stored.

    :param host: host of the route that the job was submitted by; sent with the requests of its
        items.
    :param path: path of the request that submitted the job.
    :param submitted_ms: wall time at which the job was received.
    :param retention_ms: time from ``submitted_ms`` until its items may be given up.
    :param completion_target_ms: time from ``submitted_ms`` until its results are due.
    :param max_attempts: number of failed runs after which an item is given up.
    :param items: the items in the order of submission.
    :param body_parts: number of objects that hold the bodies; 0 if the record holds them.
    :param owner: instance that runs the job; empty if no instance does.
    :param owner_incarnation: incarnation of the owner's process.
    :param epoch: number of owners so far.
    :param is_cancelled: whether the job was cancelled.
    :param caller: the client account that submitted the job; empty if the caller needed no key.
    """

    job_id: str
    host: str
    path: str
    submitted_ms: int
    retention_ms: float
    completion_target_ms: float
    max_attempts: int
    items: tuple[ItemRecord, ...]
    body_parts: int = 0
    owner: str = ""
    owner_incarnation: str = ""
    epoch: int = 0
    is_cancelled: bool = False
    caller: str = ""


class BodyPart(Struct, frozen=True):
    """Bodies of some items, stored separately from their job.

    :param bodies: pairs of the index and the body of an item.
    """

    bodies: tuple[tuple[int, bytes], ...]


class ResultRecord(Struct, frozen=True, array_like=True):
    """The result of one item, or a part of a result that exceeds a segment.

    The parts of a result are in segments of one epoch, in order, other segments may be in between.

    :param index: index of the item in its job.
    :param is_complete: whether the item was completed; ``False`` if it was given up.
    :param data: data of all events, joined by line feeds; of a part, a section of it.
    :param part: number of the part, from 0.
    :param has_more: whether further parts follow; the result is listed with the last one.
    """

    index: int
    is_complete: bool
    data: str
    part: int = 0
    has_more: bool = False


class FailureCount(Struct, frozen=True, array_like=True):
    """The failed runs of an item that has no result yet.

    :param index: index of the item in its job.
    :param failures: number of runs that targets reported as failed, over all owners of the job.
    """

    index: int
    failures: int


class ResultSegment(Struct, frozen=True):
    """Results that one write appended to the results of a job.

    Callers read results by position; positions follow the order of the segments.

    A new owner first writes a segment without results. That takes the number that the next write of
    the previous owner would use, so the previous owner cannot append any more results.

    :param results: the appended results, in the order of their positions.
    :param epoch: epoch of the job's record as the writer knew it.
    :param failures: failed runs since the previous segment, so that the next owner does not repeat
        more of them than the job allows.
    """

    results: tuple[ResultRecord, ...]
    epoch: int = 0
    failures: tuple[FailureCount, ...] = ()


class ListedResult(Struct, frozen=True):
    """A result as callers read it.

    :param is_complete: whether the item was completed; ``False`` if it was given up.
    :param data: data of all events, joined by line feeds.
    """

    item_id: str
    is_complete: bool
    data: str


class ResultPage(Struct, frozen=True):
    """A range of the results of a job.

    :param total: number of items of the job.
    :param next_position: position after the last result of the range.
    """

    total: int
    next_position: int
    results: tuple[ListedResult, ...]
