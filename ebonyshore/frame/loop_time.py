"""Time on the event loop, which tests may run on a clock of their own."""

from asyncio import get_running_loop

from ebonyshore.frame.clock import MS_PER_S


def now_ms() -> float:
    """Return the monotonic time of the running event loop."""
    return get_running_loop().time() * MS_PER_S
