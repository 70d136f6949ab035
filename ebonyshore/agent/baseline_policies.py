"""Baseline scheduling policies for benchmarks. Pure functions; not meant for production."""

from collections.abc import Callable

from ebonyshore.agent.scheduler import Decision, SchedulerState, decide

BATCH_SPLIT_RATIO = 0.5

SchedulingPolicy = Callable[[SchedulerState], Decision]


def find_policy(policy: str) -> SchedulingPolicy:
    """Return the scheduling policy that ``TargetSettings.policy`` names.

    :param policy: ``policy`` for the scheduler, or ``first_come`` or ``static_split``.
    :raises KeyError: the name is unknown.
    """
    functions: dict[str, SchedulingPolicy] = {
        "policy": decide,
        "first_come": decide_first_come,
        "static_split": decide_static_split,
    }
    return functions[policy]


def decide_first_come(state: SchedulerState) -> Decision:
    """Start all waiting requests; the engine's own queue serves them in order of arrival."""
    return Decision(state.online_waiting, len(state.batch_waiting_tokens))


def decide_static_split(state: SchedulerState) -> Decision:
    """Limit batch work to :data:`BATCH_SPLIT_RATIO` of the running requests, online to the rest."""
    batch_limit = int(state.max_running * BATCH_SPLIT_RATIO)
    online_room = state.max_running - batch_limit - state.online_running
    batch_room = batch_limit - len(state.batch) - state.batch_stopping
    return Decision(
        max(0, min(state.online_waiting, online_room)),
        max(0, min(len(state.batch_waiting_tokens), batch_room)),
    )
