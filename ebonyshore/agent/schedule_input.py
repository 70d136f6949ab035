"""Makes the scheduler's state from the requests that the agent holds."""

from ebonyshore.agent.run_queues import RunQueues
from ebonyshore.agent.scheduler import BatchRun, SchedulerState
from ebonyshore.agent.step_time_model import OnlineTailEstimator, StepTimeModel
from ebonyshore.agent.target_run import TargetRun
from ebonyshore.settings.settings_tree import EffectiveSettings

# Measured on the stand-in engine; engines prefill a token in a small part of a step.
PREFILL_TOKEN_MS = 0.02


def make_scheduler_state(
    held: RunQueues,
    cost: StepTimeModel,
    tail: OnlineTailEstimator,
    tier: EffectiveSettings,
    max_running: int,
    now_ms: float,
) -> SchedulerState:
    """Return the state that a decision depends on.

    The agent's own counts are used, never the engine's load report, which lags.
    """
    running = list(held.running.values())
    batch = [run for run in running if not run.is_online]
    return SchedulerState(
        len(running) - len(batch),
        len(held.online),
        tuple(_batch_run(run, now_ms) for run in batch if not is_stopping(run)),
        sum(map(is_stopping, batch)),
        tuple(_prefill_tokens(run) for run in list(held.batch)[:max_running]),
        sum(_prefill_tokens(run) for run in running if not run.run_tokens),
        max_running,
        cost.base_ms,
        cost.sequence_ms,
        PREFILL_TOKEN_MS,
        tier.token_interval_objective_ms,
        tier.first_token_objective_ms,
        tail.interval_ms,
        tier.weighting,
    )


def is_stopping(run: TargetRun) -> bool:
    """Return whether the target was told to end a run."""
    return run.is_preempted or run.is_cancelled


def _batch_run(run: TargetRun, now_ms: float) -> BatchRun:
    return BatchRun(run.run_id, run.prompt_tokens, run.tokens, now_ms - run.started_ms)


def _prefill_tokens(run: TargetRun) -> int:
    return run.prompt_tokens + run.kept_tokens
