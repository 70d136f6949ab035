"""Completes a dispatch for an agent and checks, just before it is sent, whether it may be sent."""

from collections.abc import Callable

from msgspec.structs import replace
from returns.result import Failure, Result

from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.link.messages import Dispatch

DispatchFilter = Callable[[Dispatch], Result[Dispatch, ResultCode]]


def prepare_dispatch(
    dispatch: Dispatch,
    incarnation: str,
    deadline_ms: float,
    now_ms: float,
    dispatch_filter: DispatchFilter,
) -> Result[Dispatch, ResultCode]:
    """Return the dispatch to send, or the code with which the request is refused.

    :param incarnation: the run of the agent that the dispatch is meant for.
    :param deadline_ms: monotonic deadline of the request; infinite if it has none.
    :param dispatch_filter: decides last whether the dispatch is sent, and may change it.
    """
    dispatch = replace(dispatch, incarnation=incarnation)
    if deadline_ms != float("inf"):
        # Computed here rather than at admission: if the process was paused in between, it must not
        # start a request whose deadline has passed.
        dispatch = replace(dispatch, deadline_left_ms=deadline_ms - now_ms)
    if dispatch.deadline_left_ms <= 0:
        return Failure(ResultCode.DEADLINE_UNREACHABLE)
    return dispatch_filter(dispatch)
