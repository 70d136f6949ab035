"""The HTTP calls about batch jobs that entries send to runners."""

from enum import Enum
from urllib.parse import parse_qsl, unquote, urlsplit

from msgspec import Struct

from ebonyshore.http.numbers import parse_decimal, parse_non_negative

OWNER_HEADER = "Ebonyshore-Owner"
PATH_HEADER = "Ebonyshore-Path"
JOBS_PATH = "/jobs/"
MAX_TIME_MS = 1e12
REDIRECT_STATUS = 307  # the owner of the job, named in OWNER_HEADER, answers from memory


class JobCallKind(Enum):
    """The operation of a call."""

    SUBMIT = "submit"
    RESULTS = "results"
    ITEM_BODY = "item"
    CANCEL = "cancel"


_METHODS = {
    JobCallKind.SUBMIT: "POST",
    JobCallKind.RESULTS: "GET",
    JobCallKind.ITEM_BODY: "GET",
    JobCallKind.CANCEL: "DELETE",
}


class JobCall(Struct, frozen=True):
    """One call. All operations use ``job_id`` and ``account``; each other field belongs to one.

    :param kind: the operation.
    :param job_id: id of the job.
    :param first_position: for ``RESULTS``: position of the first result to return, from 0.
    :param wait_ms: for ``RESULTS``: how long the runner waits if there is no result yet.
    :param item_id: for ``ITEM_BODY``: id of the item.
    :param route_name: for ``SUBMIT``: name of the route by which the job was submitted.
    :param age_ms: for ``SUBMIT``: time since the entry received the caller's request.
    :param account: name of the caller's client account; empty if the configuration has no accounts.
    :param may_redirect: for reads: whether the runner may name the job's owner in place of an
        answer, with status :data:`REDIRECT_STATUS`.
    """

    kind: JobCallKind
    job_id: str
    first_position: int = 0
    wait_ms: float = 0.0
    item_id: str = ""
    route_name: str = ""
    age_ms: float = 0.0
    account: str = ""
    may_redirect: bool = False

    @property
    def method(self) -> str:
        """The HTTP method."""
        return _METHODS[self.kind]

    def query_fields(self) -> dict[str, str]:
        """Return the fields of the URL's query string; see :func:`decode_job_call`."""
        return {
            "call": self.kind.value,
            "first": str(self.first_position),
            "wait_ms": str(self.wait_ms),
            "item_id": self.item_id,
            "route": self.route_name,
            "age_ms": str(self.age_ms),
            "account": self.account,
            "may_redirect": str(int(self.may_redirect)),
        }


def decode_job_request(target: str) -> JobCall:
    """Return the call that the target of a request names.

    :param target: path and query, as received.
    :raises ValueError: if it is malformed, as for :func:`decode_job_call`.
    """
    url = urlsplit(target)
    return decode_job_call(unquote(url.path.removeprefix(JOBS_PATH)), dict(parse_qsl(url.query)))


def decode_job_call(job_id: str, query: dict[str, str]) -> JobCall:
    """Return the call that :meth:`JobCall.query_fields` has encoded.

    :param job_id: id of the job, from the URL's path.
    :param query: fields of the URL's query string.
    :raises ValueError: if the operation is unknown, or a number is malformed or out of range.
    """
    return JobCall(
        JobCallKind(query.get("call", "")),
        job_id,
        _parse_position(query.get("first", "0")),
        _parse_ms(query.get("wait_ms", "0")),
        query.get("item_id", ""),
        query.get("route", ""),
        _parse_ms(query.get("age_ms", "0")),
        query.get("account", ""),
        query.get("may_redirect") == "1",
    )


def _parse_position(text: str) -> int:
    position = parse_decimal(text)
    if position is None:
        raise ValueError("malformed position")
    return position


def _parse_ms(text: str) -> float:
    time_ms = parse_non_negative(text)
    if time_ms is None or time_ms > MAX_TIME_MS:
        raise ValueError("malformed time")
    return time_ms
