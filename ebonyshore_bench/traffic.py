"""Generates the online traffic and the batch file; the same plan and seed give the same result."""

from random import Random

from msgspec import Struct
from msgspec.json import encode

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore_bench.plan import BATCH_MODEL, ONLINE_MODEL, BatchPlan, TrafficPlan

_WORDS = ("oven", "flour", "lather", "courier", "label", "sourdough", "starter", "kettle")


class Arrival(Struct, frozen=True):
    """One online request.

    :param at_ms: arrival time since the start of the run.
    :param burst: number of its burst, or -1 for the steady traffic.
    :param prompt: text of the prompt.
    :param tokens: number of tokens in the answer.
    """

    at_ms: float
    burst: int
    prompt: str
    tokens: int

    def body(self) -> bytes:
        """Return the body of the streaming request."""
        return chat_body(ONLINE_MODEL, self.prompt, self.tokens, is_stream=True)


def make_arrivals(plan: TrafficPlan) -> list[Arrival]:
    """Return the arrivals of a run in order of time."""
    random = Random(plan.seed)
    times = [(at_ms, -1) for at_ms in _steady_times(plan, random)]
    times += _burst_times(plan)
    return [
        Arrival(at_ms, burst, make_prompt(random, plan.prompt_words), _draw_tokens(plan, random))
        for at_ms, burst in sorted(times)
    ]


def make_batch_lines(plan: BatchPlan, seed: int) -> bytes:
    """Return the content of the batch input file, a JSON object per line."""
    random = Random(seed)
    lines = []
    for number in range(plan.items):
        prompt = make_prompt(random, plan.prompt_words)
        body = _chat_fields(BATCH_MODEL, prompt, plan.tokens)
        line = {"custom_id": f"plan-{number}", "method": "POST", "url": "/v1/chat/completions"}
        lines.append(encode({**line, "body": body}))
    return b"\n".join(lines)


def make_prompt(random: Random, words: int) -> str:
    """Return a random prompt that shares no prefix with other prompts."""
    return f"{random.getrandbits(48):012x} " + " ".join(random.choices(_WORDS, k=words))


def chat_body(model: str, prompt: str, tokens: int, is_stream: bool) -> bytes:
    """Return the body of a chat completion request."""
    return encode({**_chat_fields(model, prompt, tokens), "stream": is_stream})


def _chat_fields(model: str, prompt: str, tokens: int) -> dict[str, object]:
    messages = [{"role": "user", "content": prompt}]
    return {"model": model, "messages": messages, "max_tokens": tokens}


def _steady_times(plan: TrafficPlan, random: Random) -> list[float]:
    times = []
    at_ms = 0.0
    while (at_ms := at_ms + random.expovariate(plan.steady_rate_per_s) * MS_PER_S) < (
        plan.duration_ms
    ):
        times.append(at_ms)
    return times


def _burst_times(plan: TrafficPlan) -> list[tuple[float, int]]:
    interval_ms = plan.burst_width_ms / plan.burst_requests
    times = []
    start_ms = plan.burst_interval_ms / 2
    burst = 0
    while start_ms + plan.burst_width_ms < plan.duration_ms:
        times += [(start_ms + interval_ms * number, burst) for number in range(plan.burst_requests)]
        start_ms += plan.burst_interval_ms
        burst += 1
    return times


def _draw_tokens(plan: TrafficPlan, random: Random) -> int:
    return random.randint(plan.min_tokens, plan.max_tokens)
