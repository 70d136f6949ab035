"""Client accounts of the configuration, and the keys that callers authenticate with. No I/O."""

from collections.abc import Sequence
from hashlib import sha256

from msgspec import Struct

from ebonyshore.link.account_limit import AccountLimit, QuotaRule, make_limit


class Account(Struct, frozen=True):
    """A client account.

    :param name: the account's name, which targets and logs are told.
    :param key_digests: digests of its keys, see :func:`digest_key`. The keys themselves are not
        kept, so that no log or dump can show them.
    :param priority: rank of its requests, 0 is the highest; ``None`` to use that of the route.
    :param rate_per_s: online requests a second that all entries together admit; 0 if there is no
        limit.
    :param burst: requests that may be admitted at once beyond the rate.
    """

    name: str
    key_digests: frozenset[bytes] = frozenset()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


def account_header_value(name: str) -> str:
    """Return an account's name as the value of a header field, whose bytes are those of UTF-8."""
    return name.encode().decode("latin-1")


def digest_key(key: str) -> bytes:
    """Return the digest under which a key is looked up."""
    return sha256(key.encode("utf-8", "surrogateescape")).digest()


def account_limits(accounts: Sequence[Account] | None, rule: QuotaRule) -> dict[str, AccountLimit]:
    """Return the limits of the accounts that have one, by name."""
    return {
        account.name: make_limit(account.rate_per_s, account.burst, rule)
        for account in accounts or ()
        if account.rate_per_s > 0
    }
