"""The scheduler: decides which requests to start and which batch items to preempt.

Pure functions of :class:`SchedulerState`.
"""

from enum import Enum

from msgspec import Struct

# Time by which batch work may lengthen a step under harm_first, as a fraction of the online tail.
# The goal is to raise the p99 by at most 0.05 of its value. With 0.05 here, the p99 of the first
# token was 1.06 to 1.10 times that without batch work, because the first token waits for two steps.
MAX_BATCH_SLOWDOWN_RATIO = 0.04
# Longest step in which a batch item is prefilled beside online work, as a fraction of the online
# tail. With 1.0, the p99 of the first token was 1.07 times that without batch work; with 0.6, a
# steady online load left no room for batch work.
MAX_PREFILL_STEP_RATIO = 0.75
# Limit for the batch tokens prefilled in one step of a target without online work. Without a limit,
# a burst of online requests met steps up to 10 ms longer, and the p99 of the first token was 1.10
# instead of 1.03 times that without batch work.
MAX_IDLE_PREFILL_TOKENS = 256


class Weighting(Enum):
    """What a tier gives priority to: low latency of online work, or throughput of batch work."""

    HARM_FIRST = "harm_first"
    THROUGHPUT_FIRST = "throughput_first"


class BatchRun(Struct, frozen=True):
    """A batch item that runs in the target.

    :param run_id: id of the run.
    :param prompt_tokens: estimated length of the prompt in tokens.
    :param generated_tokens: tokens generated in this and earlier runs; a resumption keeps them.
    :param elapsed_ms: time since the start of this run, in milliseconds.
    """

    run_id: str
    prompt_tokens: int
    generated_tokens: int
    elapsed_ms: float


class SchedulerState(Struct, frozen=True):
    """The state on which a decision depends.

    :param online_running: number of online requests that run in the target.
    :param online_waiting: number of online requests that wait in the agent.
    :param batch: batch items that run in the target, except those being preempted or cancelled.
    :param batch_stopping: number of preempted or cancelled items that the target still runs.
    :param batch_waiting_tokens: for each waiting batch item, the tokens to prefill; in the order in
        which the items start.
    :param prefill_tokens: tokens to prefill of running requests without a first token.
    :param max_running: greatest number of requests that run in the target.
    :param base_step_ms: estimated time of a step with one sequence.
    :param sequence_step_ms: estimated step time that each further sequence adds.
    :param prefill_token_ms: estimated step time that each prefilled token adds.
    :param token_interval_objective_ms: objective for the p95 of the time between tokens.
    :param first_token_objective_ms: objective for the p95 of the time to the first token.
    :param online_tail_ms: p99 of online token intervals without batch work; 0 if unknown.
    :param weighting: what the tier of the target's model gives priority to.
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
    """What to do now: first preempt, then start online requests, then start batch items.

    :param start_online: number of waiting online requests to start.
    :param start_batch: number of waiting batch items to start.
    :param preempt: run ids of the batch items to preempt.
    """

    start_online: int = 0
    start_batch: int = 0
    preempt: tuple[str, ...] = ()


def decide(state: SchedulerState) -> Decision:
    """Return which requests to start and which batch items to preempt.

    Online requests start at once, up to ``max_running``; batch items share the rest of the target
    within the limits of :func:`max_batch_items` and :func:`prefill_step_budget_ms`.
    """
    start_online = min(state.online_waiting, state.max_running - state.online_running)
    start_online = max(0, start_online)
    online = state.online_running + start_online
    limit = max_batch_items(state, online)
    excess = len(state.batch) - limit
    if excess > 0:
        return Decision(start_online, 0, choose_victims(state.batch, excess))
    room = limit - len(state.batch) - state.batch_stopping
    return Decision(start_online, _count_startable(state, online, room))


def max_batch_items(state: SchedulerState, online: int) -> int:
    """Return how many batch items may run together with ``online`` online requests."""
    room = max(0, state.max_running - online)
    if online == 0:
        return room
    budget_ms = decode_step_budget_ms(state, online)
    sequences = int((budget_ms - state.base_step_ms) / state.sequence_step_ms + 1e-9) + 1
    return max(0, min(room, sequences - online))


def decode_step_budget_ms(state: SchedulerState, online: int) -> float:
    """Return how long, in milliseconds, a decoding step with ``online`` online requests may take.

    A new request waits for the step in progress and then for the step of its own prefill, so a step
    may take at most half the objective for the first token. Under ``harm_first``, batch work may
    lengthen any step by at most :data:`MAX_BATCH_SLOWDOWN_RATIO` of the online tail, which consists
    of the steps that prefill online requests.
    """
    if state.weighting is Weighting.THROUGHPUT_FIRST:
        return min(state.token_interval_objective_ms, state.first_token_objective_ms / 2)
    step_ms = _step_ms(state, online)
    return step_ms + MAX_BATCH_SLOWDOWN_RATIO * max(step_ms, state.online_tail_ms)


def prefill_step_budget_ms(state: SchedulerState, online: int) -> float:
    """Return how long, in milliseconds, a step that prefills a batch item may take.

    Without online work, that is the time of a full decoding step and of the prefill of
    :data:`MAX_IDLE_PREFILL_TOKENS`.

    Under ``harm_first``, such a step stays within the tail that online work has alone. While other
    requests are prefilled, it gets no more time than a decoding step, so that batch prefill does
    not add to the prefill of an online request.
    """
    if online == 0:
        full_ms = _step_ms(state, state.max_running)
        return full_ms + MAX_IDLE_PREFILL_TOKENS * state.prefill_token_ms
    budget_ms = decode_step_budget_ms(state, online)
    if state.weighting is Weighting.THROUGHPUT_FIRST or state.prefill_tokens:
        return budget_ms
    return max(budget_ms, MAX_PREFILL_STEP_RATIO * state.online_tail_ms)


def choose_victims(batch: tuple[BatchRun, ...], count: int) -> tuple[str, ...]:
    """Return the run ids of the ``count`` items whose preemption wastes the least work.

    A resumed item is prefilled again with its generated text, so the cost of preempting it is the
    length of its prompt and text. An item without a token loses only the prefill done so far, and
    costs less than any item with a token.
    """
    ordered = sorted(batch, key=_preemption_cost)
    return tuple(run.run_id for run in ordered[:count])


def _preemption_cost(run: BatchRun) -> tuple[bool, float]:
    """Return the sort key of an item: whether it has a token, then the work that is lost."""
    has_token = run.generated_tokens > 0
    return has_token, run.prompt_tokens + run.generated_tokens if has_token else run.elapsed_ms


def _count_startable(state: SchedulerState, online: int, room: int) -> int:
    """Return how many waiting batch items may start within ``room`` and the prefill budget.

    Without online work, one item may always be prefilled, however long its prompt is.
    """
    room = max(0, min(room, len(state.batch_waiting_tokens)))
    budget_ms = prefill_step_budget_ms(state, online)
    sequences = online + len(state.batch) + state.batch_stopping
    prefill_tokens = state.prefill_tokens
    for count, tokens in enumerate(state.batch_waiting_tokens[:room]):
        prefill_tokens += tokens
        step_ms = _step_ms(state, sequences + count + 1)
        is_only_prefill = not online and prefill_tokens == tokens
        if step_ms + prefill_tokens * state.prefill_token_ms > budget_ms and not is_only_prefill:
            return count
    return room


def _step_ms(state: SchedulerState, sequences: int) -> float:
    return state.base_step_ms + state.sequence_step_ms * max(0, sequences - 1)
