"""Figures of a run, computed from the step records of its engines. No I/O."""

from bisect import bisect_left
from collections.abc import Iterator

from msgspec import Struct

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore_bench.plan import BATCH_MODEL, ONLINE_MODEL
from ebonyshore_standins.engine_runner import StepRecord

SETTLE_FROM_MS = 100.0
SETTLE_UNTIL_MS = 300.0
MAX_YIELDED_RATIO = 0.5  # of the batch sequences that may still run after a yield


class WindowUse(Struct, frozen=True):
    """Use of one engine within a time window; shares are from 0 to 1.

    :param online_tokens_per_s: rate of tokens generated for online requests.
    :param batch_tokens_per_s: rate of tokens generated for batch items.
    :param busy_share: share of the window in which the engine executed steps.
    :param online_share: share of the window in which it executed steps with online sequences.
    :param generated_batch_tokens: batch tokens generated since the start of the engine.
    :param finished_batch_tokens: those of them that belong to completed items.
    :param step_lag_ms: mean time by which a step took longer than the engine model requires.
    """

    online_tokens_per_s: float
    batch_tokens_per_s: float
    busy_share: float
    online_share: float
    generated_batch_tokens: int
    finished_batch_tokens: int
    step_lag_ms: float


def measure_window(records: list[StepRecord], start_ms: float, end_ms: float) -> WindowUse:
    """Return the use of an engine within a time window.

    :param records: all step records of the engine, in order of time.
    :param start_ms: monotonic time at which the window starts.
    :param end_ms: monotonic time at which the window ends, exclusive.
    """
    steps = [r for r in records if start_ms <= r.started_ms < end_ms]
    duration_ms = end_ms - start_ms
    online_steps = [r for r in steps if r.sequences.get(ONLINE_MODEL)]
    return WindowUse(
        _count_tokens(steps, ONLINE_MODEL) * MS_PER_S / duration_ms,
        _count_tokens(steps, BATCH_MODEL) * MS_PER_S / duration_ms,
        sum(r.step_ms for r in steps) / duration_ms,
        sum(r.step_ms for r in online_steps) / duration_ms,
        _count_tokens(records, BATCH_MODEL),
        sum(r.finished_tokens.get(BATCH_MODEL, 0) for r in records),
        _mean_lag_ms(steps),
    )


class BatchYield(Struct, frozen=True):
    """Preemption of batch work on one engine after the arrival of one online burst.

    :param batch_before: batch sequences in the last step before the arrival.
    :param batch_after: highest number of batch sequences from 100 to 300 ms after the arrival, when
        the preemption has settled.
    :param yield_ms: time from the arrival to the start of the first step with at most
        ``batch_after`` batch sequences; ``None`` if more than half of the sequences remained.
    :param step_left_ms: remaining time of the step that was running at the arrival.
    :param online_seen_ms: time from the arrival to the start of the first step with more online
        sequences than before; ``None`` if there was none within 300 ms.
    """

    batch_before: int
    batch_after: int
    yield_ms: float | None
    step_left_ms: float
    online_seen_ms: float | None


def measure_batch_yield(records: list[StepRecord], burst_ms: float) -> BatchYield | None:
    """Measure how batch work on one engine yielded to a burst.

    :param records: all step records of the engine, in order of time.
    :param burst_ms: monotonic time at which the burst arrived.
    :return: ``None`` if no batch sequence was running at the arrival or no step was recorded from
        100 to 300 ms after it.
    """
    index = bisect_left(records, burst_ms, key=lambda r: r.started_ms)
    if not index or burst_ms - records[index - 1].started_ms > 2 * records[index - 1].step_ms:
        return None
    before = records[index - 1]
    batch_before = before.sequences.get(BATCH_MODEL, 0)
    settled = [
        r.sequences.get(BATCH_MODEL, 0)
        for r in records[index:]
        if SETTLE_FROM_MS <= r.started_ms - burst_ms <= SETTLE_UNTIL_MS
    ]
    if not batch_before or not settled:
        return None
    batch_after = max(settled)
    step_left_ms = max(0.0, before.started_ms + before.step_ms - burst_ms)
    later = [r for r in records[index:] if r.started_ms - burst_ms <= SETTLE_UNTIL_MS]
    online_before = before.sequences.get(ONLINE_MODEL, 0)
    seen_ms = _first_start_ms(r for r in later if r.sequences.get(ONLINE_MODEL, 0) > online_before)
    yielded_ms = _first_start_ms(r for r in later if r.sequences.get(BATCH_MODEL, 0) <= batch_after)
    has_yielded = batch_after <= batch_before * MAX_YIELDED_RATIO
    return BatchYield(
        batch_before,
        batch_after,
        yielded_ms - burst_ms if has_yielded else None,
        step_left_ms,
        None if seen_ms is None else seen_ms - burst_ms,
    )


def _first_start_ms(records: Iterator[StepRecord]) -> float | None:
    return next((record.started_ms for record in records), None)


def _count_tokens(records: list[StepRecord], model: str) -> int:
    return sum(r.tokens.get(model, 0) for r in records)


def _mean_lag_ms(steps: list[StepRecord]) -> float:
    lags = [
        later.started_ms - earlier.started_ms - earlier.step_ms
        for earlier, later in zip(steps, steps[1:], strict=False)
        if later.started_ms - earlier.started_ms < 2 * earlier.step_ms
    ]
    return sum(lags) / len(lags) if lags else 0.0
