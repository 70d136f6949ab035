"""A caller that reads a stream over several attempts, and takes it up where it broke off."""

from http.client import IncompleteRead

from ebonyshore.frame.http_connection import WholeResponseConnection
from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore_standins.fleet_client import STREAM_DEADLINE_MS
from ebonyshore_standins.fleet_config import ROUTE_HOST, STREAM_PREFIX
from ebonyshore_standins.fleet_process import FleetProcess


class CallerStream:
    """A stream as its caller receives it.

    :param name: id of the first attempt; those of the others are derived from it.
    :param events: number of events that a target generates.
    :ivar stream_id: id of the attempt that brought the first event.
    :ivar data: data of the events received so far, over all attempts.
    :ivar statuses: HTTP statuses of the attempts that were answered.
    """

    def __init__(self, name: str, events: int) -> None:
        self.name = name
        self.events = events
        self.data: list[str] = []
        self.statuses: list[int] = []
        self._attempts = 0
        self.stream_id = name

    @property
    def is_complete(self) -> bool:
        """Whether all events were received."""
        return len(self.data) == self.events

    def read(
        self, entry: FleetProcess, until_event: int | None = None, timeout_s: float = 10.0
    ) -> int:
        """Make one attempt, which takes the stream up after the last event received.

        :param until_event: number of events after which the caller closes the connection; all if
            omitted.
        :return: HTTP status.
        :raises OSError: if the connection fails or there is no data for ``timeout_s``.
        :raises http.client.HTTPException: if the response breaks off.
        """
        attempt_id = f"{self.name}.{self._attempts}" if self._attempts else self.name
        self._attempts += 1
        connection = WholeResponseConnection(entry.ip, entry.front_port, timeout=timeout_s)
        try:
            headers = self._headers(attempt_id, entry.key)
            connection.request("POST", f"{STREAM_PREFIX}x", self.name.encode(), headers)
            response = connection.getresponse()
            self.statuses.append(response.status)
            if response.status == 200:
                self._receive(response, attempt_id, until_event or self.events)
            return response.status
        finally:
            connection.close()

    def _headers(self, attempt_id: str, key: str | None) -> dict[str, str]:
        headers = {
            "Host": ROUTE_HOST,
            WIRE_NAMES.request_id: attempt_id,
            WIRE_NAMES.remaining_ms: str(STREAM_DEADLINE_MS),
            "Length-Hint": str(self.events),
        }
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        if self.data:
            headers[WIRE_NAMES.last_event_id] = str(len(self.data))
            headers[WIRE_NAMES.resumed_request] = self.stream_id
        return headers

    def _receive(self, response, attempt_id: str, until_event: int) -> None:
        while len(self.data) < until_event and (line := response.readline()):
            if line.startswith(b"data: "):
                if not self.data:
                    self.stream_id = attempt_id
                self.data.append(line[6:-1].decode())
        if len(self.data) < until_event:
            raise IncompleteRead(b"")
