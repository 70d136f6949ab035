"""A small model of a continuously batching engine: state and step times, without threads.

The model is honest about what hurts: the step time grows with the batch and with the prefill in it,
the engine's own queue knows no priority, the prefix cache is bounded, and content with the poison
marker crashes the engine.
"""

from collections import OrderedDict, deque
from hashlib import blake2b

from msgspec import Struct

VOCABULARY = tuple(f"{head}{tail}" for head in "bdfgklmnprst" for tail in ("a", "e", "i", "o", "u"))
CHARS_PER_TOKEN = 4
CACHE_BLOCK_CHARS = 256


class EngineParameters(Struct, frozen=True):
    """Costs and limits.

    :param base_step_ms: time of a step with one sequence.
    :param sequence_step_ms: additional time of each further sequence.
    :param prefill_token_ms: additional time of each prompt token not in the cache.
    :param prefill_step_tokens: most prompt tokens processed in one step.
    :param max_batch: most sequences in the batch.
    :param cache_blocks: prompt blocks kept in the prefix cache.
    :param poison_marker: content that has it crashes the engine in the step that finishes its
        prefill.
    """

    base_step_ms: float = 8.0
    sequence_step_ms: float = 0.3
    prefill_token_ms: float = 0.02
    prefill_step_tokens: int = 512
    max_batch: int = 32
    cache_blocks: int = 256
    poison_marker: str = "CRASH-THE-ENGINE"


class EngineCrashedError(Exception):
    """The engine crashed; all its sequences are gone."""


class Sequence:
    """One request in the engine."""

    __slots__ = (
        "generated_tokens",
        "is_aborted",
        "max_tokens",
        "remaining_prefill_tokens",
        "prompt",
        "request_id",
    )

    def __init__(self, request_id: str, prompt: str, max_tokens: int, resumed_tokens: int) -> None:
        self.request_id = request_id
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.generated_tokens = resumed_tokens
        self.remaining_prefill_tokens = 0
        self.is_aborted = False

    @property
    def prompt_tokens(self) -> int:
        return len(self.prompt) // CHARS_PER_TOKEN + 1


class TokenEvent(Struct, frozen=True):
    """A token of one sequence; ``finish_reason`` is set on the last event, which has no token."""

    request_id: str
    token: str = ""
    finish_reason: str = ""
    prompt_tokens: int = 0
    completion_tokens: int = 0


class Step(Struct, frozen=True):
    """Result of one step.

    :param duration_ms: 0 if there was nothing to do.
    :param events: delivered at the end of the step.
    :param aborted: ends of aborted requests, delivered at its begin.
    """

    duration_ms: float
    events: tuple[TokenEvent, ...]
    aborted: tuple[TokenEvent, ...] = ()


def token_at(prompt: str, index: int) -> str:
    """Return the token that every engine generates at ``index`` for ``prompt``."""
    digest = blake2b(f"{index}:{prompt}".encode(), digest_size=2).digest()
    return VOCABULARY[int.from_bytes(digest, "big") % len(VOCABULARY)] + " "


def expected_text(prompt: str, tokens: int) -> str:
    """Return the whole answer to ``prompt``."""
    return "".join(token_at(prompt, index) for index in range(tokens))


class EngineModel:
    """The engine's batch, queue and cache; not safe to use from several threads."""

    def __init__(self, parameters: EngineParameters) -> None:
        self.parameters = parameters
        self.running: list[Sequence] = []
        self.waiting: deque[Sequence] = deque()
        self.idle_steps = 0
        self.last_step_ms = parameters.base_step_ms
        self._cache: OrderedDict[str, None] = OrderedDict()
        self.cache_changes: list[tuple[str, bool]] = []

    def submit(self, request_id: str, prompt: str, max_tokens: int, resume_text: str = "") -> None:
        """Add a request to the engine's queue."""
        resumed_tokens = len(resume_text.split())
        self.waiting.append(Sequence(request_id, prompt, max_tokens, resumed_tokens))

    def abort(self, request_id: str) -> None:
        """Mark a request to end in the next step."""
        for sequence in (*self.running, *self.waiting):
            if sequence.request_id == request_id:
                sequence.is_aborted = True

    def abort_all(self) -> None:
        """Mark all requests to end in the next step."""
        for sequence in (*self.running, *self.waiting):
            sequence.is_aborted = True

    def step(self) -> Step:
        """Run one step.

        :raises EngineCrashedError: if a poisoned prompt was processed.
        """
        aborted = tuple(self._remove_aborted())
        self._admit()
        if not self.running:
            return Step(0.0, (), aborted)
        prefilled_tokens = self._prefill()
        parameters = self.parameters
        duration_ms = (
            parameters.base_step_ms
            + parameters.sequence_step_ms * (len(self.running) - 1)
            + parameters.prefill_token_ms * prefilled_tokens
        )
        self.last_step_ms = duration_ms
        return Step(duration_ms, tuple(self._decode()), aborted)

    def has_prefix(self, prefix_digest: str) -> bool:
        """Return whether the block of a prefix is cached."""
        return prefix_digest in self._cache

    def import_prefix(self, prefix_digest: str) -> None:
        """Cache the block of a prefix that another engine exported."""
        self._store_blocks([prefix_digest])

    def _remove_aborted(self) -> list[TokenEvent]:
        aborted = [s for s in (*self.running, *self.waiting) if s.is_aborted]
        self.running = [s for s in self.running if not s.is_aborted]
        self.waiting = deque(s for s in self.waiting if not s.is_aborted)
        return [_final_event(sequence, "abort") for sequence in aborted]

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.parameters.max_batch:
            sequence = self.waiting.popleft()
            cached_chars = self._cached_chars(sequence.prompt)
            sequence.remaining_prefill_tokens = (
                max(1, (len(sequence.prompt) - cached_chars) // CHARS_PER_TOKEN)
                + sequence.generated_tokens
            )
            self.running.append(sequence)

    def _prefill(self) -> int:
        left_tokens = self.parameters.prefill_step_tokens
        for sequence in self.running:
            tokens = min(left_tokens, sequence.remaining_prefill_tokens)
            sequence.remaining_prefill_tokens -= tokens
            left_tokens -= tokens
            if tokens and not sequence.remaining_prefill_tokens:
                self._finish_prefill(sequence)
        return self.parameters.prefill_step_tokens - left_tokens

    def _finish_prefill(self, sequence: Sequence) -> None:
        if self.parameters.poison_marker in sequence.prompt:
            raise EngineCrashedError(sequence.request_id)
        self._store_prefix(sequence.prompt)

    def _decode(self) -> list[TokenEvent]:
        events = []
        for sequence in [s for s in self.running if not s.remaining_prefill_tokens]:
            if sequence.generated_tokens < sequence.max_tokens:
                token = token_at(sequence.prompt, sequence.generated_tokens)
                events.append(TokenEvent(sequence.request_id, token))
                sequence.generated_tokens += 1
            if sequence.generated_tokens >= sequence.max_tokens:
                events.append(_final_event(sequence, "stop"))
                self.running.remove(sequence)
        return events

    def _block_keys(self, prompt: str) -> list[str]:
        ends = range(CACHE_BLOCK_CHARS, len(prompt) + 1, CACHE_BLOCK_CHARS)
        return [blake2b(prompt[:end].encode(), digest_size=8).hexdigest() for end in ends]

    def _cached_chars(self, prompt: str) -> int:
        cached = 0
        for key in self._block_keys(prompt):
            if key not in self._cache:
                break
            self._cache.move_to_end(key)
            cached += CACHE_BLOCK_CHARS
        return cached

    def _store_prefix(self, prompt: str) -> None:
        self._store_blocks(self._block_keys(prompt))

    def _store_blocks(self, keys: list[str]) -> None:
        for key in keys:
            if key not in self._cache:
                self.cache_changes.append((key, True))
            self._cache[key] = None
            self._cache.move_to_end(key)
        while len(self._cache) > self.parameters.cache_blocks:
            key, _ = self._cache.popitem(last=False)
            self.cache_changes.append((key, False))


def _final_event(sequence: Sequence, reason: str) -> TokenEvent:
    return TokenEvent(
        sequence.request_id,
        finish_reason=reason,
        prompt_tokens=sequence.prompt_tokens,
        completion_tokens=sequence.generated_tokens,
    )
