"""Finds out where a stream may go on that its caller takes up."""

from ebonyshore.gateway.forwarding_parts import ForwardingParts
from ebonyshore.gateway.origin_lookup import OriginLookup
from ebonyshore.gateway.stream_origins import UnknownOriginError
from ebonyshore.host.target import TargetGroup
from ebonyshore.http.messages import Request


class TakeUp:
    """Looks for the origin of the stream that a request takes up, and logs what is known.

    :param forwarder: the parts of the entry.
    :param last_event: id of the last event that the caller has received.
    """

    __slots__ = ("_forwarder", "_last_event", "_request")

    def __init__(self, forwarder: ForwardingParts, request: Request, last_event: int) -> None:
        self._forwarder = forwarder
        self._request = request
        self._last_event = last_event

    async def find_origin(self, service: str) -> TargetGroup:
        """Return the targets at which the stream began.

        :param service: service at which it would go on if its origin is not known.
        :raises UnknownOriginError: if they are not known.
        """
        resumed_id = self._request.headers.get(self._forwarder.names.resumed_request)
        try:
            lookup = await self._forwarder.origins.find(resumed_id, service)
        except UnknownOriginError as error:
            self._log(error.lookup)
            raise
        self._log(lookup)
        return lookup.origin

    def _log(self, lookup: OriginLookup) -> None:
        self._forwarder.metrics.count(f"take_ups_{lookup.source.value}")
        self._forwarder.log.event(
            "stream_taken_up",
            request=self._request.headers.get(self._forwarder.names.request_id),
            resumes=self._request.headers.get(self._forwarder.names.resumed_request),
            last_event=self._last_event,
            source=lookup.source.value,
            peer=lookup.peer,
            service=lookup.origin and lookup.origin.service,
            origin_version=lookup.origin and lookup.origin.software_version,
            versions=",".join(lookup.versions),
            is_complete=lookup.is_complete,
            asked=lookup.asked,
            answered=lookup.answered,
            is_list_current=lookup.is_list_current,
        )
