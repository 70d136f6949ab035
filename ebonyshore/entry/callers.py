"""Who a caller is and what its limits are."""

from hashlib import sha256

from ebonyshore.entry.limits import CallerLimit
from ebonyshore.frame.errors import RequestError
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.settings.settings_tree import SettingsTree

CALLER_ID_CHARS = 16
ANONYMOUS_CALLER = "anonymous"


def caller_for_api_key(tree: SettingsTree, api_key: str) -> str:
    """Return the caller that an API key stands for; a key of no account is its own caller.

    :raises RequestError: with code ``UNAUTHENTICATED`` if the key has no account and the tree
        allows accounts only.
    """
    named = tree.caller_of(api_key) if api_key else None
    if named is not None:
        return named
    if not tree.root().allows_anonymous_callers:
        raise RequestError("no caller account has this key", code=ResultCode.UNAUTHENTICATED)
    if not api_key:
        return ANONYMOUS_CALLER
    return sha256(api_key.encode()).hexdigest()[:CALLER_ID_CHARS]


def limit_for_caller(tree: SettingsTree, caller: str) -> CallerLimit:
    """Return a caller's limits; those of the root if it has no node."""
    # The tree keeps each level it was asked for, and anyone can send any key.
    values = tree.for_caller(caller) if f"/callers/{caller}" in tree.nodes else tree.root()
    return CallerLimit(
        values.caller_requests_per_s, values.caller_burst_requests, values.caller_weight
    )
