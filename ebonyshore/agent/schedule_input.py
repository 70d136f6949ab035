"""Builds the scheduler's input from the requests of the agent."""

from ebonyshore.agent.run_queues import RunQueues
from ebonyshore.agent.scheduler import BatchRun, SchedulerState
from ebonyshore.agent.step_time_model import OnlineTailEstimator, StepTimeModel
from ebonyshore.agent.target_run import TargetRun
from ebonyshore.settings.settings_tree import EffectiveSettings

# Prefill time of a token on the stand-in engine, a small fraction of the time of an engine step.
PREFILL_TOKEN_MS = 0.02


def make_scheduler_state(
    queues: RunQueues,
    step_times: StepTimeModel,
    online_tail: OnlineTailEstimator,
    tier_settings: EffectiveSettings,
    max_running: int,
    now_ms: float,
) -> SchedulerState:
    """Return the state on which a scheduling decision depends.

    It is built from the agent's own counts, never from the engine's load report, which lags.

    :param queues: the waiting and running requests.
    :param step_times: model of the engine's step time.
    :param online_tail: estimate of the p99 online token interval without batch work.
    :param tier_settings: settings in force for the target's model.
    :param max_running: greatest number of requests that run in the target.
    :param now_ms: monotonic time in milliseconds.
    """
    running = list(queues.running.values())
    batch = [run for run in running if not run.is_online]
    return SchedulerState(
        len(running) - len(batch),
        len(queues.online),
        tuple(_batch_run(run, now_ms) for run in batch if not is_stopping(run)),
        sum(map(is_stopping, batch)),
        tuple(_prefill_tokens(run) for run in list(queues.batch)[:max_running]),
        sum(_prefill_tokens(run) for run in running if not run.run_tokens),
        max_running,
        step_times.base_ms,
        step_times.sequence_ms,
        PREFILL_TOKEN_MS,
        tier_settings.token_interval_objective_ms,
        tier_settings.first_token_objective_ms,
        online_tail.interval_ms,
        tier_settings.weighting,
    )


def is_stopping(run: TargetRun) -> bool:
    """Return whether the target was asked to abort a run that has not ended yet."""
    return run.is_preempted or run.is_cancelled


def _batch_run(run: TargetRun, now_ms: float) -> BatchRun:
    return BatchRun(run.run_id, run.prompt_tokens, run.tokens, now_ms - run.started_ms)


def _prefill_tokens(run: TargetRun) -> int:
    """Return the estimated tokens to prefill: the prompt and the text generated in earlier runs."""
    return run.prompt_tokens + run.previous_tokens
