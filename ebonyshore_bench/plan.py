"""Parameters of the benchmark: engines, traffic, seeds and variants."""

from msgspec import Struct
from msgspec.structs import asdict

from ebonyshore_standins.engine_model import EngineParameters

ONLINE_MODEL = "care-reader"
BATCH_MODEL = "care-writer"


class EnginePlan(Struct, frozen=True):
    """Parameters of the stand-in engines.

    A step takes 12 to 19.5 ms, as with a mid-size language model. The resulting token rate of one
    engine (820/s) uses only a part of a core in the engine and in its agent.

    :param count: number of engines.
    :param base_step_ms: time of a step with one sequence.
    :param sequence_step_ms: additional step time per further sequence.
    :param prefill_token_ms: prefill time per prompt token.
    :param max_running: maximum number of concurrent sequences, in the engine and in its agent.
    """

    count: int = 3
    base_step_ms: float = 12.0
    sequence_step_ms: float = 0.5
    prefill_token_ms: float = 0.02
    max_running: int = 16

    def parameters(self) -> dict[str, object]:
        """Return the engine parameters for its command line, by name."""
        parameters = EngineParameters(
            base_step_ms=self.base_step_ms,
            sequence_step_ms=self.sequence_step_ms,
            prefill_token_ms=self.prefill_token_ms,
            max_batch=self.max_running,
        )
        return asdict(parameters)

    def full_step_ms(self) -> float:
        """Return the time in ms of a step with a full batch and without prefill."""
        return self.base_step_ms + self.sequence_step_ms * (self.max_running - 1)


class TrafficPlan(Struct, frozen=True):
    """Online traffic: steady Poisson arrivals and periodic bursts.

    :param seed: seed of the random numbers.
    :param duration_ms: duration of the run.
    :param steady_rate_per_s: mean arrival rate of the steady traffic.
    :param burst_interval_ms: time between the starts of bursts; the first burst starts after half
        of it.
    :param burst_requests: number of requests in a burst.
    :param burst_width_ms: time within which the requests of a burst arrive at equal intervals.
    :param min_tokens: minimum number of tokens in an answer.
    :param max_tokens: maximum number of tokens in an answer.
    :param prompt_words: number of words in each prompt.
    """

    seed: int = 20_260
    duration_ms: float = 30_000.0
    steady_rate_per_s: float = 2.0
    burst_interval_ms: float = 5_000.0
    burst_requests: int = 18
    burst_width_ms: float = 20.0
    min_tokens: int = 16
    max_tokens: int = 48
    prompt_words: int = 60


class BatchPlan(Struct, frozen=True):
    """The batch job of a run; it is too large to complete within the run.

    :param items: number of items.
    :param tokens: number of tokens in each answer.
    :param prompt_words: number of words in each prompt.
    :param warm_up_ms: time from the acceptance of the job to the start of the measured window.
    """

    items: int = 3_000
    tokens: int = 64
    prompt_words: int = 60
    warm_up_ms: float = 3_000.0


class Variant(Struct, frozen=True):
    """One variant of the benchmark, measured in one run.

    :param name: name of the variant in the report.
    :param has_online: whether online requests are sent.
    :param has_batch: whether the batch job is submitted.
    :param policy: ``TargetSettings.policy`` of the agents.
    :param weighting: weighting of the tier.
    """

    name: str
    has_online: bool = True
    has_batch: bool = True
    policy: str = "policy"
    weighting: str = "harm_first"


class BenchPlan(Struct, frozen=True):
    """All parameters of the benchmark.

    :param entries: number of entries.
    :param token_interval_objective_ms: objective of the tier for the time between two tokens.
    """

    engines: EnginePlan = EnginePlan()
    traffic: TrafficPlan = TrafficPlan()
    batch: BatchPlan = BatchPlan()
    entries: int = 2
    token_interval_objective_ms: float = 26.0


VARIANTS = (
    Variant("online_alone", has_batch=False),
    Variant("batch_alone", has_online=False, weighting="throughput_first"),
    Variant("first_come", policy="first_come"),
    Variant("static_split", policy="static_split"),
    Variant("harm_first"),
    Variant("throughput_first", weighting="throughput_first"),
)
