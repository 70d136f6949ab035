"""The time of the event loop, which tests can replace with a simulated clock."""

from asyncio import get_running_loop

from ebonyshore.frame.clock import MS_PER_S


def now_ms() -> float:
    """Return the monotonic time of the running event loop in milliseconds."""
    return get_running_loop().time() * MS_PER_S
