"""What the agent starts and which batch items it preempts. Pure: state in, decision out."""

from enum import Enum

from msgspec import Struct

# What harm_first lets batch add to a step, as a share of the online tail. The goal for p99 is 0.05;
# with 0.05, the first token came to 1.06 to 1.10 because it waits for two steps.
MAX_BATCH_SLOWDOWN_RATIO = 0.04
# Longest step that prefills a batch item beside online work, as a share of the online tail. With
# 1.0, the first token's p99 came to 1.07; with 0.6, a steady load left no room for batch.
MAX_PREFILL_STEP_RATIO = 0.75
# Batch prefill in one step of a target without online work. With no limit, a burst met steps that
# were up to 10 ms longer, and the first token's p99 came to 1.10 instead of 1.03.
MAX_IDLE_PREFILL_TOKENS = 256


class Weighting(Enum):
    """What a tier values more."""

    HARM_FIRST = "harm_first"
    THROUGHPUT_FIRST = "throughput_first"


class BatchRun(Struct, frozen=True):
    """A batch item in the target.

    :param run_id: of the run.
    :param prompt_tokens: estimated length of its prompt.
    :param generated_tokens: of this and earlier runs; kept when it is resumed.
    :param elapsed_ms: time since this run was started.
    """

    run_id: str
    prompt_tokens: int
    generated_tokens: int
    elapsed_ms: float


class SchedulerState(Struct, frozen=True):
    """What the decision depends on.

    :param online_running: online requests in the target.
    :param online_waiting: online requests held by the agent.
    :param batch: batch items in the target that are not being preempted.
    :param batch_stopping: preempted items that the target has not confirmed yet.
    :param batch_waiting_tokens: tokens to prefill of the batch items held, first to start first.
    :param prefill_tokens: tokens of running requests that have no first token yet.
    :param max_running: most requests in the target.
    :param base_step_ms: estimated time of a step with one sequence.
    :param sequence_step_ms: estimated additional time of each further sequence.
    :param prefill_token_ms: estimated additional step time of each prefilled token.
    :param token_interval_objective_ms: objective between tokens, 95th percentile.
    :param first_token_objective_ms: objective of the first token, 95th percentile.
    :param online_tail_ms: p99 of online token intervals without batch work; 0 if unknown.
    """

    online_running: int
    online_waiting: int
    batch: tuple[BatchRun, ...]
    batch_stopping: int
    batch_waiting_tokens: tuple[int, ...]
    prefill_tokens: int
    max_running: int
    base_step_ms: float
    sequence_step_ms: float
    prefill_token_ms: float
    token_interval_objective_ms: float
    first_token_objective_ms: float
    online_tail_ms: float
    weighting: Weighting


class Decision(Struct, frozen=True):
    """What to do now; preempt first, then start online, then start batch.

    :param preempt: run ids.
    """

    start_online: int = 0
    start_batch: int = 0
    preempt: tuple[str, ...] = ()


def decide(state: SchedulerState) -> Decision:
    """Return what to start and what to preempt."""
    start_online = min(state.online_waiting, state.max_running - state.online_running)
    start_online = max(0, start_online)
    online = state.online_running + start_online
    limit = batch_limit(state, online)
    excess = len(state.batch) - limit
    if excess > 0:
        return Decision(start_online, 0, choose_victims(state.batch, excess))
    room = limit - len(state.batch) - state.batch_stopping
    return Decision(start_online, _count_startable(state, online, room))


def batch_limit(state: SchedulerState, online: int) -> int:
    """Return how many batch items may run beside ``online`` online requests."""
    room = max(0, state.max_running - online)
    if online == 0:
        return room
    budget_ms = step_budget_ms(state, online)
    sequences = int((budget_ms - state.base_step_ms) / state.sequence_step_ms + 1e-9) + 1
    return max(0, min(room, sequences - online))


def step_budget_ms(state: SchedulerState, online: int) -> float:
    """Return how long a decoding step may take beside ``online`` online requests.

    A request waits for the step under way, then for its own prefill step, so a step may take at
    most half the objective of the first token. Under ``harm_first``, batch adds no more to any step
    than the ratio allows for the tail, which is the steps that prefill online requests.
    """
    if state.weighting is Weighting.THROUGHPUT_FIRST:
        return min(state.token_interval_objective_ms, state.first_token_objective_ms / 2)
    step_ms = _step_ms(state, online)
    return step_ms + MAX_BATCH_SLOWDOWN_RATIO * max(step_ms, state.online_tail_ms)


def prefill_budget_ms(state: SchedulerState, online: int) -> float:
    """Return how long a step may take in which a batch item is prefilled.

    Under ``harm_first`` it stays within the tail of online alone and never meets the prefill of an
    online request.
    """
    if online == 0:
        full_ms = _step_ms(state, state.max_running)
        return full_ms + MAX_IDLE_PREFILL_TOKENS * state.prefill_token_ms
    budget_ms = step_budget_ms(state, online)
    if state.weighting is Weighting.THROUGHPUT_FIRST or state.prefill_tokens:
        return budget_ms
    return max(budget_ms, MAX_PREFILL_STEP_RATIO * state.online_tail_ms)


def choose_victims(batch: tuple[BatchRun, ...], count: int) -> tuple[str, ...]:
    """Return the items whose preemption wastes least.

    A resumed item is prefilled again with the text it has, so its waste is the length of prompt
    and text; an item without a token wastes only the prefill that it has had so far.
    """
    ordered = sorted(batch, key=_waste)
    return tuple(run.run_id for run in ordered[:count])


def _waste(run: BatchRun) -> tuple[bool, float]:
    has_prefill = run.generated_tokens > 0
    return has_prefill, run.prompt_tokens + run.generated_tokens if has_prefill else run.elapsed_ms


def _count_startable(state: SchedulerState, online: int, room: int) -> int:
    """Return how many batch items fit, in number and in prefill time.

    Without online work, one item is always prefilled, however long its prompt is.
    """
    room = max(0, min(room, len(state.batch_waiting_tokens)))
    budget_ms = prefill_budget_ms(state, online)
    sequences = online + len(state.batch) + state.batch_stopping
    prefill_tokens = state.prefill_tokens
    for count, tokens in enumerate(state.batch_waiting_tokens[:room]):
        prefill_tokens += tokens
        step_ms = _step_ms(state, sequences + count + 1)
        is_first = not online and prefill_tokens == tokens
        if step_ms + prefill_tokens * state.prefill_token_ms > budget_ms and not is_first:
            return count
    return room


def _step_ms(state: SchedulerState, sequences: int) -> float:
    return state.base_step_ms + state.sequence_step_ms * max(0, sequences - 1)
