"""All parameters of the bench in one place: engines, traffic, seeds, variants."""

from msgspec import Struct
from msgspec.structs import asdict

from ebonyshore_standins.engine_model import EngineParameters

ONLINE_MODEL = "care-reader"
BATCH_MODEL = "care-writer"


class EnginePlan(Struct, frozen=True):
    """The stand-in engines.

    A step of 12 to 19.5 ms is that of a mid-size language model, and keeps the token rate of one
    engine (820/s) to a part of a core in each of the engine and its agent.

    :param max_running: most sequences, in the engine as well as in the agent.
    """

    count: int = 3
    base_step_ms: float = 12.0
    sequence_step_ms: float = 0.5
    prefill_token_ms: float = 0.02
    max_running: int = 16

    def parameters(self) -> dict[str, object]:
        """Return the parameters for the engine's command line."""
        parameters = EngineParameters(
            base_step_ms=self.base_step_ms,
            sequence_step_ms=self.sequence_step_ms,
            prefill_token_ms=self.prefill_token_ms,
            max_batch=self.max_running,
        )
        return asdict(parameters)

    def full_step_ms(self) -> float:
        """Return the time of a step with a full batch and no prefill."""
        return self.base_step_ms + self.sequence_step_ms * (self.max_running - 1)


class TrafficPlan(Struct, frozen=True):
    """Online traffic: a steady flow of independent callers, and bursts.

    :param steady_rate_per_s: mean rate of a Poisson process.
    :param burst_interval_ms: time between the starts of bursts; the first comes after half of it.
    :param burst_requests: requests of one burst.
    :param burst_width_ms: time in which the requests of a burst arrive, evenly distributed.
    :param min_tokens: shortest answer.
    :param max_tokens: longest answer.
    :param prompt_words: words of each question.
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
    """The batch job; it is too long to end within a run.

    :param warm_up_ms: time from its acceptance to the start of the measured window.
    """

    items: int = 3_000
    tokens: int = 64
    prompt_words: int = 60
    warm_up_ms: float = 3_000.0


class Variant(Struct, frozen=True):
    """One run.

    :param policy: ``TargetSettings.policy`` of the agents.
    :param weighting: of the tier.
    """

    name: str
    has_online: bool = True
    has_batch: bool = True
    policy: str = "policy"
    weighting: str = "harm_first"


class BenchPlan(Struct, frozen=True):
    """The whole bench."""

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
