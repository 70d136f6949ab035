"""Decision functions to compare the scheduler with. Pure; for measurements only."""

from collections.abc import Callable

from ebonyshore.agent.scheduler import Decision, SchedulerState, decide

BATCH_SPLIT_RATIO = 0.5

SchedulingPolicy = Callable[[SchedulerState], Decision]


def find_policy(policy: str) -> SchedulingPolicy:
    """Return the decision function that ``TargetSettings.policy`` names."""
    functions: dict[str, SchedulingPolicy] = {
        "policy": decide,
        "first_come": decide_first_come,
        "static_split": decide_static_split,
    }
    return functions[policy]


def decide_first_come(state: SchedulerState) -> Decision:
    """Pass everything on at once; the engine's own queue serves it in order of arrival."""
    return Decision(state.online_waiting, len(state.batch_waiting_tokens))


def decide_static_split(state: SchedulerState) -> Decision:
    """Give each kind of work a fixed share of the running requests."""
    batch_limit = int(state.max_running * BATCH_SPLIT_RATIO)
    online_room = state.max_running - batch_limit - state.online_running
    batch_room = batch_limit - len(state.batch) - state.batch_stopping
    return Decision(
        max(0, min(state.online_waiting, online_room)),
        max(0, min(len(state.batch_waiting_tokens), batch_room)),
    )
