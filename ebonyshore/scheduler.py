"""What the agent starts and which batch items it preempts. Pure: state in, decision out."""

from enum import Enum

from msgspec import Struct


class Weighting(Enum):
    """What a tier values more."""

    HARM_FIRST = "harm_first"
    THROUGHPUT_FIRST = "throughput_first"


class SchedulerState(Struct, frozen=True):
    """What the decision depends on.

    :param online_running: online requests in the target.
    :param online_waiting: online requests held by the agent.
    :param batch_running: batch items in the target.
    :param batch_waiting: batch items held by the agent.
    :param max_running: most requests in the target.
    :param base_step_ms: estimated time of a step with one sequence.
    :param sequence_step_ms: estimated additional time of each further sequence.
    :param token_interval_objective_ms: objective between tokens, 95th percentile.
    """

    online_running: int
    online_waiting: int
    batch_running: int
    batch_waiting: int
    max_running: int
    base_step_ms: float
    sequence_step_ms: float
    token_interval_objective_ms: float
    weighting: Weighting


class Decision(Struct, frozen=True):
    """What to do now; preempt first, then start online, then start batch."""

    start_online: int = 0
    start_batch: int = 0
    preempt_batch: int = 0


def decide(state: SchedulerState) -> Decision:
    """Return what to start and what to preempt."""
    online_room = state.max_running - state.online_running
    start_online = min(state.online_waiting, online_room)
    online = state.online_running + start_online
    batch_limit = batch_limit_for(state, online)
    preempt_batch = max(0, state.batch_running - batch_limit)
    start_batch = max(0, min(state.batch_waiting, batch_limit - state.batch_running))
    return Decision(start_online, start_batch, preempt_batch)


def batch_limit_for(state: SchedulerState, online: int) -> int:
    """Return how many batch items may run beside ``online`` online requests."""
    room = max(0, state.max_running - online)
    if online == 0:
        return room
    if state.weighting is Weighting.HARM_FIRST:
        return 0
    budget_ms = state.token_interval_objective_ms - state.base_step_ms
    allowed = int(budget_ms / max(state.sequence_step_ms, 0.001)) + 1 - online
    return max(0, min(room, allowed))
