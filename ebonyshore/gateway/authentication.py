"""Decides for which client account a request is admitted, and what targets are told about it.

Load pattern: requests with known, unknown and removed keys at any rate, on entries that may be cut
off from the store. Each decision is made at once, from the state of this process alone.
"""

from collections.abc import Callable

from msgspec import structs

from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.host.accounts import Account, account_header_value
from ebonyshore.host.config_service import ConfigService
from ebonyshore.host.error_responses import ErrorResponse, not_executed_response
from ebonyshore.host.key_ring import AUTHORIZATION_HEADER, KeyRing
from ebonyshore.host.routes import RouteTable
from ebonyshore.host.wire_names import WireNames
from ebonyshore.http.headers import Headers
from ebonyshore.http.messages import Request

UNCONFIRMED_RETRY_MS = 500.0  # another entry may be able to serve the request at once


class AccessDeniedError(Exception):
    """A request is not admitted.

    :ivar response: the response to a request that has not been sent to any target.
    """

    def __init__(self, response: ErrorResponse) -> None:
        super().__init__(response.code.name.lower())
        self.response = response


class Authenticator:
    """Admits requests by the keys of the configuration in force.

    :param names: header names of the deployment.
    :param config: the configuration in force.
    :param is_config_confirmed: returns whether the configuration in force may be relied on for
        keys, see :class:`~ebonyshore.gateway.lease_keeper.LeaseKeeper`.
    """

    def __init__(
        self, names: WireNames, config: ConfigService, is_config_confirmed: Callable[[], bool]
    ) -> None:
        self._is_config_confirmed = is_config_confirmed
        self._key_ring: KeyRing | None = None
        self._replaced_headers = (AUTHORIZATION_HEADER.lower(), names.account.lower())
        self._account_header = names.account
        config.change_listeners.append(self._apply)

    def authenticate(self, headers: Headers, is_public: bool = False) -> Account | None:
        """Return the account for which a request is admitted.

        :param headers: header fields of the request.
        :param is_public: whether the request needs no key.
        :return: ``None`` if the configuration has no accounts, or if a request that needs no key
            has no valid one.
        :raises AccessDeniedError: if the request needs a valid key and has none, or if it is not
            known whether its key is still valid.
        """
        if self._key_ring is None:
            return None
        if not self._is_config_confirmed():
            if is_public:
                return None
            raise AccessDeniedError(
                not_executed_response(ResultCode.CONFIG_UNCONFIRMED, UNCONFIRMED_RETRY_MS)
            )
        account = self._key_ring.find(headers)
        if account is None and not is_public:
            raise AccessDeniedError(ErrorResponse(401, ResultCode.UNAUTHENTICATED))
        return account

    def to_forwarded(self, request: Request, account: Account | None) -> Request:
        """Return the request as a target may see it: with the account's name and without the key.

        If the configuration has no accounts, the request is returned as it is.

        :param account: as returned by :meth:`authenticate`.
        """
        if self._key_ring is None:
            return request
        # ``Connection`` is evaluated first, since it may name the header that is added here.
        headers = request.headers.end_to_end().without(self._replaced_headers)
        if account is not None:
            headers.add(self._account_header, account_header_value(account.name))
        return structs.replace(request, headers=headers)

    def _apply(self, table: RouteTable) -> None:
        accounts = table.config.accounts
        self._key_ring = None if accounts is None else KeyRing(accounts)
