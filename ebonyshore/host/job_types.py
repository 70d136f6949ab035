"""Batch jobs as they are submitted, stored and read."""

from msgspec import Struct


class ItemRecord(Struct, frozen=True, array_like=True):
    """One item of a job.

    :param path: of the request to a target.
    :param headers: of that request.
    :param body: of that request; empty in a job record whose bodies are stored apart.
    :param tokens: of the prompt and the longest output together.
    """

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int = 0


class JobSubmission(Struct, frozen=True):
    """What a caller hands in."""

    items: tuple[ItemRecord, ...]


class JobRecord(Struct, frozen=True):
    """A job as it is stored.

    :param host: of the route that it came in by; its items carry it.
    :param path: of the request that it came in by.
    :param submitted_ms: wall time at which it was received.
    :param retention_ms: from then on until its items may be given up.
    :param completion_target_ms: from then on until its results are due.
    :param max_attempts: failed runs after which an item is given up.
    :param body_parts: number of objects that hold the bodies; 0 if the record does.
    :param owner: instance that runs it; empty if it is free.
    :param owner_incarnation: run of that instance.
    :param epoch: number of owners so far.
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


class BodyPart(Struct, frozen=True):
    """Bodies of some items, stored apart from their job.

    :param bodies: pairs of an item's index and its body.
    """

    bodies: tuple[tuple[int, bytes], ...]


class ResultRecord(Struct, frozen=True, array_like=True):
    """The result of one item.

    :param index: of the item in its job.
    :param is_complete: ``False`` if the item was given up.
    :param data: of all events, joined by line feeds.
    """

    index: int
    is_complete: bool
    data: str


class ResultSegment(Struct, frozen=True):
    """Results that were listed by one write; positions follow the order of segments.

    A new owner begins with a segment without results. It takes the number that a write of the
    owner before would take.

    :param epoch: of the job's record as its writer knew it.
    """

    results: tuple[ResultRecord, ...]
    epoch: int = 0


class ListedResult(Struct, frozen=True):
    """A result as callers read it."""

    item_id: str
    is_complete: bool
    data: str


class ResultPage(Struct, frozen=True):
    """Some results of a job.

    :param total: items of the job.
    :param next_position: position after the last result here.
    """

    total: int
    next_position: int
    results: tuple[ListedResult, ...]
