"""Identification of callers by API key, and their limits."""

from hashlib import sha256

from ebonyshore.entry.limits import CallerLimit
from ebonyshore.frame.errors import RequestError
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.settings.settings_tree import SettingsTree

CALLER_ID_CHARS = 16  # hexadecimal characters of the digest of a key without an account
ANONYMOUS_CALLER = "anonymous"


def caller_for_api_key(tree: SettingsTree, api_key: str) -> str:
    """Return the id of the caller that an API key belongs to.

    A key without an account identifies a caller of its own; without a key, the caller is
    :data:`ANONYMOUS_CALLER`.

    :raises RequestError: with code ``UNAUTHENTICATED`` if the key has no account and the settings
        do not allow anonymous callers.
    """
    account = tree.caller_of(api_key) if api_key else None
    if account is not None:
        return account
    if not tree.root().allows_anonymous_callers:
        raise RequestError("API key missing or unknown", code=ResultCode.UNAUTHENTICATED)
    if not api_key:
        return ANONYMOUS_CALLER
    return sha256(api_key.encode()).hexdigest()[:CALLER_ID_CHARS]


def limit_for_caller(tree: SettingsTree, caller: str) -> CallerLimit:
    """Return a caller's limits; the root's limits if the caller has no node of its own."""
    # The tree caches the values of each caller that it is asked for. Callers without a node are not
    # looked up there, because a client can send any number of keys and would fill the cache.
    values = tree.for_caller(caller) if f"/callers/{caller}" in tree.nodes else tree.root()
    return CallerLimit(
        values.caller_requests_per_s, values.caller_burst_requests, values.caller_weight
    )
