"""Whether the agent takes a dispatch. Pure: what it refuses here was not run."""

from msgspec import Struct
from returns.result import Failure, Result, Success

from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.link.messages import Dispatch, WorkClass


class Refusal(Struct, frozen=True):
    """Why a request is refused.

    :param retry_after_ms: when to come back; 0 at once, elsewhere.
    """

    code: ResultCode
    retry_after_ms: int = 0
    detail: str = ""


class AdmissionState(Struct, frozen=True):
    """The state that admission depends on.

    :param is_target_up: whether the target can take requests.
    :param online_room: online requests that the agent would hold besides those it has.
    :param batch_room: batch items that it would hold besides those it has.
    :param now_ms: the agent's monotonic time.
    :param online_wait_ms: estimated wait of a new online request for a place in the target.
    :param step_ms: estimated time of a step with one more online request.
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
    online_wait_ms: float = 0.0
    step_ms: float = 0.0


def check_admission(dispatch: Dispatch, view: AdmissionState) -> Result[Dispatch, Refusal]:
    """Return the dispatch, or why it is refused."""
    refusal = _process_fault(dispatch, view) or _room_fault(dispatch, view)
    return Success(dispatch) if refusal is None else Failure(refusal)


def has_valid_permit(dispatch: Dispatch, view: AdmissionState) -> bool:
    """Return whether a batch item may be started now; online requests need no permit."""
    if dispatch.work_class is WorkClass.ONLINE:
        return True
    permit = dispatch.permit
    if permit is None or permit.incarnation != view.incarnation:
        return False
    return view.now_ms - permit.agent_tick_ms <= view.permit_interval_ms


def _process_fault(dispatch: Dispatch, view: AdmissionState) -> Refusal | None:
    if view.is_leaving:
        return Refusal(ResultCode.LEAVING)
    if dispatch.incarnation != view.incarnation:
        return Refusal(ResultCode.STALE_INCARNATION)
    if dispatch.settings_revision != view.settings_revision:
        return Refusal(ResultCode.STALE_SETTINGS)
    if not view.is_target_up:
        return Refusal(ResultCode.NO_TARGET)
    if dispatch.model not in view.models:
        return Refusal(ResultCode.UNKNOWN_MODEL)
    return None


def _room_fault(dispatch: Dispatch, view: AdmissionState) -> Refusal | None:
    if not has_valid_permit(dispatch, view):
        return Refusal(ResultCode.PERMIT_EXPIRED)
    is_online = dispatch.work_class is WorkClass.ONLINE
    wait_ms = view.online_wait_ms if is_online else 0.0
    if dispatch.deadline_left_ms <= wait_ms + view.step_ms:
        return Refusal(
            ResultCode.DEADLINE_UNREACHABLE,
            int(wait_ms),
            f"{dispatch.deadline_left_ms:.0f} ms left, {wait_ms:.0f} ms wait",
        )
    room = view.online_room if is_online else view.batch_room
    return Refusal(ResultCode.TARGET_BUSY, int(wait_ms)) if room <= 0 else None
