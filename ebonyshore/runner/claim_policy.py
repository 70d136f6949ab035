"""Decides when a runner may take over a batch job. Pure functions without I/O.

An owner that has lost contact with the other runners but still reaches the store keeps renewing its
sign of life there, and a runner that has just claimed a job has shown that it reaches the store.
Both count as activity of the owner, so two runners that receive no reports from each other do not
take a job from each other in turn.
"""

from msgspec import Struct

from ebonyshore.host.job_types import JobRecord

OWNER_TIMEOUT_MS = 1_500.0  # time without activity after which an owner's job may be claimed
MAX_TIMEOUT_DOUBLINGS = 3  # each change of owner doubles the timeout, up to this many times


class OwnerActivity(Struct, frozen=True):
    """The latest activity of a job's owner that this runner has seen. Times are of the boot clock.

    :param last_active_ms: time of the owner's last load report or renewal in the store; the
        start of this runner if there was none.
    :param last_record_change_ms: time at which the job record was last seen to change.
    :param incarnation: incarnation of the owner in its last report or renewal; empty if there was
        none.
    """

    last_active_ms: float
    last_record_change_ms: float
    incarnation: str = ""


def may_claim(
    record: JobRecord, own_id: str, is_preferred: bool, activity: OwnerActivity, now_ms: float
) -> bool:
    """Return whether a runner that does not own a job may claim it now.

    :param record: job record as this runner last saw it.
    :param own_id: instance id of this runner.
    :param is_preferred: whether this runner is the preferred one of the live runners for the job.
    :param activity: latest activity of the job's owner.
    :param now_ms: current time of the boot clock.
    :return: whether the runner may claim the job. Nobody may claim a cancelled job. Any runner may
        claim a job that an earlier incarnation of its own instance owns. All other jobs may be
        claimed by the preferred runner only: at once if they have no owner, or else after the owner
        has been inactive for :data:`OWNER_TIMEOUT_MS`. Each earlier change of owner doubles this
        time, up to :data:`MAX_TIMEOUT_DOUBLINGS` times. If the owner has restarted, the job record
        must have been unchanged for twice the time.
    """
    if record.is_cancelled:
        return False
    if record.owner == own_id:
        return True  # owned by an earlier incarnation of this instance, whose item runs have ended
    if not is_preferred:
        return False
    if not record.owner:
        return True
    timeout_ms = OWNER_TIMEOUT_MS * 2 ** min(max(0, record.epoch - 1), MAX_TIMEOUT_DOUBLINGS)
    if activity.incarnation and activity.incarnation != record.owner_incarnation:
        # The owner has restarted and will claim its jobs itself as soon as it can.
        return now_ms - activity.last_record_change_ms > 2 * timeout_ms
    return now_ms - max(activity.last_active_ms, activity.last_record_change_ms) > timeout_ms
