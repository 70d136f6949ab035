"""Forwards online requests to targets, and retries or resumes them where the route allows it."""

from ebonyshore.gateway.forwarded_request import ForwardedRequest
from ebonyshore.gateway.forwarding_parts import ForwardingParts
from ebonyshore.host.accounts import Account
from ebonyshore.host.routes import Route
from ebonyshore.http.messages import Request
from ebonyshore.http.responder import Responder


class Forwarder(ForwardingParts):
    """Serves the online requests of an entry; see :class:`ForwardingParts` for its parameters."""

    async def forward(
        self, route: Route, request: Request, responder: Responder, account: Account | None
    ) -> None:
        """Answer one request; errors of targets are answered, not raised.

        :param account: the client account for which the request was admitted, if any.
        """
        await ForwardedRequest(self, route, request, responder, account).run()
