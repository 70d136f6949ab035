"""Admission control of the agent. Pure functions; a request refused here has not been run."""

from msgspec import Struct
from returns.result import Failure, Result, Success

from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.link.messages import Dispatch, WorkClass


class Refusal(Struct, frozen=True):
    """The reason for which the agent refuses a request.

    :param code: result code for the entry.
    :param retry_after_ms: time in milliseconds after which a retry on this agent is useful; 0 if
        the entry should retry on another agent at once.
    :param detail: explanation for logs and error messages.
    """

    code: ResultCode
    retry_after_ms: int = 0
    detail: str = ""


class AdmissionState(Struct, frozen=True):
    """The agent's state at one moment, as far as admission depends on it.

    :param incarnation: random id of this run of the agent.
    :param settings_revision: revision of the settings in force.
    :param is_leaving: whether the agent is draining and refuses new work.
    :param is_target_up: whether the target accepts requests.
    :param models: models that the target serves.
    :param online_room: number of further online requests that the agent can hold.
    :param batch_room: number of further batch items that the agent can hold.
    :param now_ms: the agent's monotonic time in milliseconds.
    :param permit_interval_ms: greatest age of the agent's clock reading in a valid permit.
    :param online_wait_ms: estimated time that a new online request waits before it starts.
    :param step_ms: estimated time of an engine step with one more online request.
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


def check_admission(dispatch: Dispatch, state: AdmissionState) -> Result[Dispatch, Refusal]:
    """Return ``Success`` with the dispatch, or ``Failure`` with the reason for refusal."""
    refusal = _check_agent(dispatch, state) or _check_capacity(dispatch, state)
    return Success(dispatch) if refusal is None else Failure(refusal)


def has_valid_permit(dispatch: Dispatch, state: AdmissionState) -> bool:
    """Return whether the permit of a dispatch allows starting it now.

    Online requests need no permit. The permit of a batch item must carry this incarnation of
    the agent and a reading of its clock that is at most ``permit_interval_ms`` old.
    """
    if dispatch.work_class is WorkClass.ONLINE:
        return True
    permit = dispatch.permit
    if permit is None or permit.incarnation != state.incarnation:
        return False
    return state.now_ms - permit.agent_tick_ms <= state.permit_interval_ms


def _check_agent(dispatch: Dispatch, state: AdmissionState) -> Refusal | None:
    """Return the refusal if the agent or its target cannot take this dispatch at all."""
    if state.is_leaving:
        return Refusal(ResultCode.LEAVING)
    if dispatch.incarnation != state.incarnation:
        return Refusal(ResultCode.STALE_INCARNATION)
    if dispatch.settings_revision != state.settings_revision:
        return Refusal(ResultCode.STALE_SETTINGS)
    if not state.is_target_up:
        return Refusal(ResultCode.NO_TARGET)
    if dispatch.model not in state.models:
        return Refusal(ResultCode.UNKNOWN_MODEL)
    return None


def _check_capacity(dispatch: Dispatch, state: AdmissionState) -> Refusal | None:
    """Return the refusal if permit, deadline or queue space do not allow the dispatch."""
    if not has_valid_permit(dispatch, state):
        return Refusal(ResultCode.PERMIT_EXPIRED)
    is_online = dispatch.work_class is WorkClass.ONLINE
    wait_ms = state.online_wait_ms if is_online else 0.0
    if dispatch.deadline_left_ms <= wait_ms + state.step_ms:
        return Refusal(
            ResultCode.DEADLINE_UNREACHABLE,
            int(wait_ms),
            f"deadline in {dispatch.deadline_left_ms:.0f} ms, estimated wait {wait_ms:.0f} ms",
        )
    room = state.online_room if is_online else state.batch_room
    return Refusal(ResultCode.TARGET_BUSY, int(wait_ms)) if room <= 0 else None
