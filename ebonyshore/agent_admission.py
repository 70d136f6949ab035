"""Whether the agent takes a dispatch. Pure: what it refuses here was not run."""

from msgspec import Struct
from returns.result import Failure, Result, Success

from ebonyshore.messages import Dispatch, WorkClass
from ebonyshore.result_codes import ResultCode


class Refusal(Struct, frozen=True):
    """Why a request is refused.

    :param retry_after_ms: when to come back; 0 at once, elsewhere.
    """

    code: ResultCode
    retry_after_ms: int = 0
    detail: str = ""


class AgentView(Struct, frozen=True):
    """The state that admission depends on.

    :param batch_room: batch items that the agent would hold besides those it has.
    :param online_room: online requests that it would hold besides those it has.
    :param now_ms: the agent's monotonic time.
    """

    incarnation: str
    settings_revision: int
    is_leaving: bool
    is_target_up: bool
    models: tuple[str, ...]
    online_room: int
    batch_room: int
    now_ms: float
    permit_interval_ms: float


def check_admission(dispatch: Dispatch, view: AgentView) -> Result[Dispatch, Refusal]:
    """Return the dispatch, or why it is refused."""
    code = _process_fault(dispatch, view) or _room_fault(dispatch, view)
    if code is None:
        return Success(dispatch)
    return Failure(Refusal(code))


def is_permitted(dispatch: Dispatch, view: AgentView) -> bool:
    """Return whether a batch item may be started now; online requests need no permit."""
    if dispatch.work_class is WorkClass.ONLINE:
        return True
    permit = dispatch.permit
    if permit is None or permit.incarnation != view.incarnation:
        return False
    return view.now_ms - permit.agent_tick_ms <= view.permit_interval_ms


def _process_fault(dispatch: Dispatch, view: AgentView) -> ResultCode | None:
    if view.is_leaving:
        return ResultCode.LEAVING
    if dispatch.incarnation != view.incarnation:
        return ResultCode.STALE_INCARNATION
    if dispatch.settings_revision != view.settings_revision:
        return ResultCode.STALE_SETTINGS
    if not view.is_target_up:
        return ResultCode.NO_TARGET
    if dispatch.model not in view.models:
        return ResultCode.UNKNOWN_MODEL
    return None


def _room_fault(dispatch: Dispatch, view: AgentView) -> ResultCode | None:
    if dispatch.deadline_left_ms <= 0:
        return ResultCode.DEADLINE_UNREACHABLE
    if not is_permitted(dispatch, view):
        return ResultCode.PERMIT_EXPIRED
    room = view.online_room if dispatch.work_class is WorkClass.ONLINE else view.batch_room
    return ResultCode.TARGET_BUSY if room <= 0 else None
