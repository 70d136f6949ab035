"""Benchmark of the agent's scheduling policies in simulated time.

The real scheduler and dispatcher run against the engine model. For each traffic pattern, one line
per policy gives the latency as a ratio to a run with online requests alone, the batch tokens as a
ratio to the idle capacity, the longest time by which a yield to online requests exceeded the
running step, and the wasted tokens.
"""

import argparse
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random
from statistics import quantiles

from msgspec import Struct
from msgspec.json import encode

from ebonyshore.agent.agent_server import Broadcast, Outgoing
from ebonyshore.agent.scheduler import Decision, SchedulerState, decide
from ebonyshore.link.messages import Chunk, Dispatch, Finished, Permit, WorkClass
from ebonyshore_standins.engine_model import CHARS_PER_TOKEN, EngineParameters
from ebonyshore_standins.simulated_agent import ENTRY_PEER, Prompt, SimulatedAgent, Simulation

REFILL_DELAY_MS = 2.0
REFILL_INTERVAL_MS = 100.0
BATCH_PROMPT_TOKENS = (50, 250)
BATCH_OUTPUT_TOKENS = (40, 120)
ONLINE_PROMPT_TOKENS = (50, 600)
ONLINE_OUTPUT_TOKENS = (20, 120)
DEADLINE_MS = 600_000.0


class TrafficPattern(Struct, frozen=True):
    """Online traffic: Poisson arrivals whose rate alternates between quiet periods and bursts.

    :param name: name of the pattern on the command line and in the output.
    :param quiet_per_s: arrival rate in quiet periods.
    :param burst_per_s: arrival rate in bursts.
    :param quiet_s: mean length of a quiet period; the lengths are exponentially distributed.
    :param burst_s: mean length of a burst.
    """

    name: str
    quiet_per_s: float
    burst_per_s: float
    quiet_s: float
    burst_s: float


TRAFFIC_PATTERNS = (
    TrafficPattern("light", 1.0, 12.0, 3.0, 1.0),
    TrafficPattern("steady", 8.0, 8.0, 1.0, 1.0),
    TrafficPattern("bursty", 2.0, 25.0, 4.0, 2.0),
)


class Arrival(Struct, frozen=True):
    """An online request.

    :param time_ms: arrival time since the start of the run.
    :param prompt_tokens: number of tokens in the prompt.
    :param output_tokens: number of tokens in the answer.
    """

    time_ms: float
    prompt_tokens: int
    output_tokens: int


def make_arrivals(pattern: TrafficPattern, duration_ms: float, seed: int) -> list[Arrival]:
    """Return the arrivals of a run in order of time; the same seed gives the same arrivals."""
    random = Random(seed)
    arrivals = []
    time_ms = 0.0
    is_burst = False
    while time_ms < duration_ms:
        length_ms = (
            random.expovariate(1.0) * 1000 * (pattern.burst_s if is_burst else pattern.quiet_s)
        )
        rate = pattern.burst_per_s if is_burst else pattern.quiet_per_s
        arrivals += _arrivals_of_period(
            random, time_ms, min(duration_ms, time_ms + length_ms), rate
        )
        time_ms += length_ms
        is_burst = not is_burst
    return arrivals


def _arrivals_of_period(
    random: Random, start_ms: float, end_ms: float, rate: float
) -> Iterator[Arrival]:
    time_ms = start_ms + random.expovariate(rate) * 1000
    while time_ms < end_ms:
        prompt, output = ONLINE_PROMPT_TOKENS, ONLINE_OUTPUT_TOKENS
        yield Arrival(time_ms, random.randint(*prompt), random.randint(*output))
        time_ms += random.expovariate(rate) * 1000


@dataclass(slots=True)
class PolicyRun:
    """One simulated run of one policy.

    :ivar arrivals: the online requests.
    :ivar has_batch: whether batch items are sent whenever the agent has room for them.
    :ivar policy: the scheduling policy.
    :ivar settings: settings of the agent.
    :ivar parameters: parameters of the engine model.
    :ivar seed: seed of the sizes of the batch items.
    :ivar first_ms: time to the first token of each online request.
    :ivar interval_ms: time between two consecutive tokens of an online request.
    :ivar online_tokens: number of tokens received for online requests.
    :ivar batch_tokens: number of tokens in completed batch items.
    :ivar batch_items: number of batch items sent.
    """

    arrivals: list[Arrival]
    has_batch: bool
    policy: Callable[[SchedulerState], Decision] = decide
    settings: dict[str, object] = field(default_factory=dict)
    parameters: EngineParameters = EngineParameters()
    seed: int = 1
    simulation: Simulation = field(default_factory=Simulation)
    first_ms: list[float] = field(default_factory=list)
    interval_ms: list[float] = field(default_factory=list)
    online_tokens: int = 0
    batch_tokens: int = 0
    batch_items: int = 0
    agent: SimulatedAgent = field(init=False)
    _random: Random = field(init=False)
    _last_token_ms: dict[str, float] = field(default_factory=dict)
    _streaming: set[str] = field(default_factory=set)

    def run(self, duration_ms: float) -> "PolicyRun":
        """Simulate ``duration_ms`` of the run and return the run."""
        self.agent = SimulatedAgent(
            self.simulation,
            self._on_message,
            settings=self.settings,
            parameters=self.parameters,
            policy=self.policy,
        )
        self.agent.run_startup_grace()
        self._random = Random(self.seed)
        for number, arrival in enumerate(self.arrivals):
            self.simulation.call_later(
                arrival.time_ms, lambda n=number, a=arrival: self._send_online(n, a)
            )
        if self.has_batch:
            self._fill_periodically()
        self.simulation.run_until(self.simulation.clock.monotonic_ms() + duration_ms)
        return self

    def _send_online(self, number: int, arrival: Arrival) -> None:
        request_id = f"o{number}"
        self._last_token_ms[request_id] = self.simulation.clock.monotonic_ms()
        self._send(request_id, WorkClass.ONLINE, arrival.prompt_tokens, arrival.output_tokens)

    def _fill_periodically(self) -> None:
        self._fill_batch_room()
        self.simulation.call_later(REFILL_INTERVAL_MS, self._fill_periodically)

    def _fill_batch_room(self) -> None:
        for _ in range(self.agent.dispatcher.batch_room):
            self.batch_items += 1
            prompt, output = BATCH_PROMPT_TOKENS, BATCH_OUTPUT_TOKENS
            self._send(
                f"b{self.batch_items}",
                WorkClass.BATCH,
                self._random.randint(*prompt),
                self._random.randint(*output),
            )

    def _send(self, request_id: str, work_class: WorkClass, prompt: int, output: int) -> None:
        text = (request_id + " ").ljust(prompt * CHARS_PER_TOKEN, "x")
        dispatch = Dispatch(
            request_id,
            self.agent.incarnation,
            work_class,
            "/v1/completions",
            encode(Prompt(text, output)),
            DEADLINE_MS,
            request_id,
            1,
            model="m",
            is_stream=True,
            permit=Permit(self.agent.incarnation, self.simulation.clock.monotonic_ms()),
        )
        self.agent.receive_from(ENTRY_PEER, dispatch)

    def _on_message(self, message: Outgoing | Broadcast) -> None:
        content = message.message
        if isinstance(content, Chunk) and content.request_id.startswith("o"):
            self._record_token(content.request_id)
        elif isinstance(content, Finished) and content.request_id.startswith("b"):
            self.batch_tokens += content.usage.completion_tokens
            self.simulation.call_later(REFILL_DELAY_MS, self._fill_batch_room)

    def _record_token(self, request_id: str) -> None:
        now_ms = self.simulation.clock.monotonic_ms()
        elapsed_ms = now_ms - self._last_token_ms[request_id]
        if elapsed_ms == 0:
            return  # the end marker arrives together with the last token
        self._last_token_ms[request_id] = now_ms
        self.online_tokens += 1
        if request_id in self._streaming:
            self.interval_ms.append(elapsed_ms)
        else:
            self._streaming.add(request_id)
            self.first_ms.append(elapsed_ms)


def no_policy(state: SchedulerState) -> Decision:
    """Baseline: online, then batch requests fill the free places; nothing is preempted."""
    room = state.max_running - state.online_running - len(state.batch)
    start_online = min(state.online_waiting, max(0, room))
    return Decision(start_online, min(len(state.batch_waiting_tokens), room - start_online))


def static_split(state: SchedulerState) -> Decision:
    """Baseline: each work class has half of the target's capacity."""
    half = state.max_running // 2
    start_online = max(0, min(state.online_waiting, half - state.online_running))
    start_batch = max(0, min(len(state.batch_waiting_tokens), half - len(state.batch)))
    return Decision(start_online, start_batch)


def percentile(values: list[float], percent: int) -> float:
    """Return the percentile ``percent`` (1 to 99) of at least two values."""
    return quantiles(values, n=100)[percent - 1]


POLICIES = {
    "harm_first": (decide, "harm_first"),
    "throughput_first": (decide, "throughput_first"),
    "no_policy": (no_policy, "harm_first"),
    "static_split": (static_split, "harm_first"),
}


def online_engine_ms(arrivals: list[Arrival]) -> float:
    """Return the engine time in ms that online requests take in a full batch, including prefill."""
    engine = EngineParameters()
    full_step_ms = engine.base_step_ms + engine.sequence_step_ms * (engine.max_batch - 1)
    output_tokens = sum(arrival.output_tokens for arrival in arrivals)
    prompt_tokens = sum(arrival.prompt_tokens for arrival in arrivals)
    return output_tokens * full_step_ms / engine.max_batch + prompt_tokens * engine.prefill_token_ms


def compare_policies(pattern: TrafficPattern, duration_ms: float, seed: int) -> list[str]:
    """Run all policies on one traffic pattern and return the lines of the report."""
    arrivals = make_arrivals(pattern, duration_ms, seed)
    batch_alone = PolicyRun([], True).run(duration_ms)
    online_alone = PolicyRun(arrivals, False).run(duration_ms)
    idle_tokens = int(batch_alone.batch_tokens * (1 - online_engine_ms(arrivals) / duration_ms))
    lines = [
        f"load={pattern.name} requests={len(arrivals)} idle_tokens={idle_tokens} "
        f"first_p50_ms={percentile(online_alone.first_ms, 50):.1f} "
        f"first_p99_ms={percentile(online_alone.first_ms, 99):.1f} "
        f"interval_p50_ms={percentile(online_alone.interval_ms, 50):.2f} "
        f"interval_p99_ms={percentile(online_alone.interval_ms, 99):.2f}"
    ]
    for name, (policy, weighting) in POLICIES.items():
        policy_run = PolicyRun(arrivals, True, policy, {"weighting": weighting}).run(duration_ms)
        lines.append(f"  {name:17}" + policy_line(policy_run, online_alone, idle_tokens))
    return lines


def policy_line(policy_run: PolicyRun, online_alone: PolicyRun, idle_tokens: int) -> str:
    """Format the figures of one policy as a line.

    :param policy_run: the run of the policy.
    :param online_alone: the run with the same online requests and no batch items.
    :param idle_tokens: batch tokens that the engine could generate in its idle time.
    """
    figures = []
    for label in ("first", "interval"):
        for percent in (50, 99):
            value = percentile(getattr(policy_run, f"{label}_ms"), percent)
            base = percentile(getattr(online_alone, f"{label}_ms"), percent)
            figures.append(f"{label}_p{percent}={value / base:.3f}")
    yield_beyond_step_ms = [
        each.yield_ms - each.step_ms for each in policy_run.agent.target.yield_times
    ]
    metrics = policy_run.agent.metrics
    figures += [
        f"interval_p95_ms={percentile(policy_run.interval_ms, 95):.1f}",
        f"first_p95_ms={percentile(policy_run.first_ms, 95):.0f}",
        f"batch={policy_run.batch_tokens / idle_tokens:.3f}",
        f"preempted={metrics.counter('batch_preempted')}",
        f"yield_beyond_step_ms={max(yield_beyond_step_ms, default=0.0):.1f}",
        f"wasted={metrics.counter('wasted_tokens')}",
        f"queued_steps={policy_run.agent.target.queued_steps}",
    ]
    return " ".join(figures)


def main() -> None:
    """Run the benchmark and print the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--duration-s", type=float, default=120.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--loads", nargs="*", default=[pattern.name for pattern in TRAFFIC_PATTERNS]
    )
    arguments = parser.parse_args()
    for pattern in [pattern for pattern in TRAFFIC_PATTERNS if pattern.name in arguments.loads]:
        print(
            "\n".join(compare_policies(pattern, arguments.duration_s * 1000, arguments.seed)),
            flush=True,
        )


if __name__ == "__main__":
    main()
