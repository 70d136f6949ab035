"""When a runner may take over a job. Pure.

An owner that was cut off from the other runners only still renews its record in the store, and one
that has just claimed a job shows by that that it reaches the store. Two runners that do not hear
each other therefore do not take a job from each other in turn.
"""

from msgspec import Struct

from ebonyshore.host.job_types import JobRecord

OWNER_TIMEOUT_MS = 1_500.0  # without a sign of the owner
MAX_TIMEOUT_DOUBLINGS = 3  # each change of owner doubles the wait


class OwnerActivity(Struct, frozen=True):
    """What a runner has seen of a job's owner.

    :param heard_ms: last datagram or renewal in the store; this runner's own start if none came.
    :param record_ms: when the job's record was last seen to change.
    :param incarnation: run of the owner that was last heard; empty if none was.
    """

    last_heard_ms: float
    record_changed_ms: float
    incarnation: str = ""


def may_claim(
    record: JobRecord, own_id: str, is_preferred: bool, activity: OwnerActivity, now_ms: float
) -> bool:
    """Return whether a runner that does not own a job may claim it now.

    :param is_first_choice: whether it is the live runner that ranks highest for the job.
    """
    if record.is_cancelled:
        return False
    if record.owner == own_id:
        return True  # owned by an earlier run of this process, whose items have ended with it
    if not is_preferred:
        return False
    if not record.owner:
        return True
    silence_ms = OWNER_TIMEOUT_MS * 2 ** min(max(0, record.epoch - 1), MAX_TIMEOUT_DOUBLINGS)
    if activity.incarnation and activity.incarnation != record.owner_incarnation:
        # The owner runs anew and claims its jobs itself, once it can.
        return now_ms - activity.record_changed_ms > 2 * silence_ms
    return now_ms - max(activity.last_heard_ms, activity.record_changed_ms) > silence_ms
