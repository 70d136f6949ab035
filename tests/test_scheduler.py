"""Tests of the scheduler's decisions and of its step time model."""

from msgspec.structs import replace

from ebonyshore.agent.scheduler import BatchRun, SchedulerState, Weighting, choose_victims, decide
from ebonyshore.agent.step_time_model import StepTimeModel

IDLE = SchedulerState(
    online_running=0,
    online_waiting=0,
    batch=(),
    batch_stopping=0,
    batch_waiting_tokens=(),
    prefill_tokens=0,
    max_running=32,
    base_step_ms=8.0,
    sequence_step_ms=0.3,
    prefill_token_ms=0.02,
    token_interval_objective_ms=26.0,
    first_token_objective_ms=670.0,
    online_tail_ms=0.0,
    weighting=Weighting.HARM_FIRST,
)
FULL = tuple(BatchRun(f"b{n}", 100, 10 + n, 500.0) for n in range(32))


def test_online_starts_at_once_on_a_target_full_of_batch_items() -> None:
    decision = decide(replace(IDLE, online_waiting=3, batch=FULL))
    assert decision.start_online == 3
    # 3 online requests leave room for 1 of the 32 items; up to 4 are tolerated.
    assert len(decision.preempt) >= 31 - 3


def test_throughput_first_preempts_no_more_than_the_burst_needs() -> None:
    state = replace(IDLE, online_waiting=3, batch=FULL, weighting=Weighting.THROUGHPUT_FIRST)
    assert len(decide(state).preempt) == 3


def test_batch_does_not_start_before_preempted_items_have_ended() -> None:
    """Guards against batch items queued in the engine, where they would precede online requests."""
    state = replace(IDLE, batch=FULL[:20], batch_stopping=12, batch_waiting_tokens=(5,) * 9)
    assert decide(state).start_batch == 0


def test_objective_bounds_the_batch() -> None:
    state = replace(
        IDLE,
        online_running=1,
        batch_waiting_tokens=(1,) * 32,
        sequence_step_ms=2.0,
        weighting=Weighting.THROUGHPUT_FIRST,
    )
    # A step of 8 + 2 * 8 ms and the prefill fit in 26 ms; with one more item they do not.
    assert decide(state).start_batch == 8


def test_first_token_objective_bounds_the_batch_of_an_engine_with_long_steps() -> None:
    state = replace(
        IDLE,
        online_running=1,
        batch=FULL[:20],
        token_interval_objective_ms=1_000.0,
        first_token_objective_ms=20.0,
        weighting=Weighting.THROUGHPUT_FIRST,
    )
    assert len(decide(state).preempt) == 20 - 6  # a step may take 10 ms, half the objective


def test_idle_target_takes_an_item_with_a_very_long_prompt() -> None:
    assert decide(replace(IDLE, batch_waiting_tokens=(100_000, 10))).start_batch == 1


def test_preemption_chooses_the_items_that_waste_least() -> None:
    runs = (
        BatchRun("long", 100, 500, 900.0),
        BatchRun("no-token-old", 100, 0, 90.0),
        BatchRun("no-token-new", 100, 0, 9.0),
        BatchRun("short", 50, 20, 100.0),
    )
    assert choose_victims(runs, 3) == ("no-token-new", "no-token-old", "short")


def test_online_overload_leaves_no_room_for_batch() -> None:
    state = replace(IDLE, online_running=32, online_waiting=40, batch_waiting_tokens=(1,))
    decision = decide(state)
    assert (decision.start_online, decision.start_batch) == (0, 0)


def test_step_times_are_estimated_from_intervals() -> None:
    """Guards against wrong decisions for an engine that is slower than the settings state."""
    step_times = StepTimeModel(8.0, 0.3)
    now_ms = 0.0
    for step in range(2_000):
        sequences = 1 + step % 32
        interval_ms = 12.0 + 0.6 * (sequences - 1)
        now_ms += interval_ms
        step_times.observe(now_ms, sequences, interval_ms)
    assert abs(step_times.predict_ms(32) - 30.6) < 0.5
    assert abs(step_times.predict_ms(1) - 12.0) < 0.5


def test_step_reported_by_all_streams_counts_once() -> None:
    """Guards against steps of large batches outweighing others, as each stream reports its step."""
    once, often = StepTimeModel(8.0, 0.3), StepTimeModel(8.0, 0.3)
    once.observe(1_000.0, 32, 20.0)
    for _ in range(32):
        often.observe(1_000.0, 32, 20.0)
    assert often.predict_ms(32) == once.predict_ms(32)
