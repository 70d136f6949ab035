"""The calls about batch jobs that entries make at runners, over HTTP."""

from enum import Enum

from msgspec import Struct

OWNER_HEADER = "Ebonyshore-Owner"
ROUTE_HEADER = "Ebonyshore-Path"


class JobCallKind(Enum):
    """What a call asks for."""

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
    """One call.

    :param first: first position of the results to return.
    :param wait_ms: how long to wait for a result if there is none.
    :param item_id: whose body is asked for.
    :param route: name of the route that a job comes in by.
    :param age_ms: time since the job's request was received.
    """

    kind: JobCallKind
    job_id: str
    first_position: int = 0
    wait_ms: float = 0.0
    item_id: str = ""
    route_name: str = ""
    age_ms: float = 0.0

    @property
    def method(self) -> str:
        """The HTTP method of the call."""
        return _METHODS[self.kind]

    def query(self) -> dict[str, str]:
        """Return the query fields of the call."""
        return {
            "call": self.kind.value,
            "first": str(self.first_position),
            "wait_ms": str(self.wait_ms),
            "item_id": self.item_id,
            "route": self.route_name,
            "age_ms": str(self.age_ms),
        }


def decode_call(job_id: str, query: dict[str, str]) -> JobCall:
    """Return a call from its query fields.

    :raises ValueError: if it is none.
    """
    return JobCall(
        JobCallKind(query.get("call", "")),
        job_id,
        int(query.get("first", "0")),
        float(query.get("wait_ms", "0")),
        query.get("item_id", ""),
        query.get("route", ""),
        float(query.get("age_ms", "0")),
    )
