"""Finds the client account of the key that a request carries. No I/O.

Load pattern: every request of every caller, and callers that go on for hours with a key that was
removed. One look-up takes a digest and an access to a dictionary, however many accounts there are.
"""

from collections.abc import Iterable

from ebonyshore.host.accounts import Account, digest_key
from ebonyshore.http.headers import Headers

AUTHORIZATION_HEADER = "Authorization"
BEARER_SCHEME = "bearer"
WHITESPACE = " \t"


class KeyRing:
    """The keys of one version of the configuration, as digests.

    A key is found by its digest. The time that this takes depends on the digest only, so it tells a
    caller nothing about other keys.

    :param accounts: the client accounts; a key of several accounts belongs to the first.
    """

    __slots__ = ("_accounts_by_digest",)

    def __init__(self, accounts: Iterable[Account]) -> None:
        self._accounts_by_digest: dict[bytes, Account] = {}
        for account in accounts:
            for digest in account.key_digests:
                self._accounts_by_digest.setdefault(digest, account)

    def find(self, headers: Headers) -> Account | None:
        """Return the account of the key in a request's headers, or ``None`` if it has no known key.

        :param headers: the header fields of the request.
        """
        key = bearer_key(headers)
        return None if key is None else self._accounts_by_digest.get(digest_key(key))


def bearer_key(headers: Headers) -> str | None:
    """Return the key of the ``Authorization`` field with the scheme ``Bearer``.

    ``None`` if there is no such field, or several: it would not be clear which one counts. The
    letter case of the scheme is ignored. Bytes of the key are read as UTF-8, like those of the
    configuration.
    """
    name = AUTHORIZATION_HEADER.lower()
    values = [value for key, value in headers if key.lower() == name]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip(WHITESPACE).partition(" ")
    if scheme.lower() != BEARER_SCHEME:
        return None
    return key.strip(WHITESPACE).encode("latin-1").decode("utf-8", "surrogateescape") or None
