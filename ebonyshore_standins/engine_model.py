"""Model of an inference engine with continuous batching: state and step times, without threads.

It reproduces the properties of real engines that cause trouble: the step time grows with the batch
size and with the prefill tokens in the step, the engine's queue has no priorities, the prefix cache
is bounded, and a prompt with the poison marker crashes the engine.
"""

from collections import OrderedDict, deque
from hashlib import blake2b

from msgspec import Struct

VOCABULARY = tuple(
    f"{consonant}{vowel}" for consonant in "bdfgklmnprst" for vowel in ("a", "e", "i", "o", "u")
)
CHARS_PER_TOKEN = 4
CACHE_BLOCK_CHARS = 256


class EngineParameters(Struct, frozen=True):
    """Step times and limits of an engine.

    :param base_step_ms: duration of a step with one sequence.
    :param sequence_step_ms: additional duration for each further sequence.
    :param prefill_token_ms: additional duration for each prefilled token; prompt tokens in the
        prefix cache are not prefilled.
    :param prefill_step_tokens: maximum number of tokens that are prefilled in one step.
    :param max_batch: maximum number of sequences in the batch.
    :param cache_blocks: maximum number of prompt blocks in the prefix cache.
    :param poison_marker: text that makes a prompt crash the engine, in the step that completes the
        prompt's prefill.
    """

    base_step_ms: float = 8.0
    sequence_step_ms: float = 0.3
    prefill_token_ms: float = 0.02
    prefill_step_tokens: int = 512
    max_batch: int = 32
    cache_blocks: int = 256
    poison_marker: str = "CRASH-THE-ENGINE"


class EngineCrashedError(Exception):
    """The engine crashed and lost all its sequences."""


class Sequence:
    """One request that is queued or in the batch.

    :param resumed_tokens: number of tokens that an earlier run of the request has generated;
        generation continues after them.
    """

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
    """A generated token, or the end of a sequence.

    :param token: empty in the last event of a sequence.
    :param finish_reason: ``stop`` or ``abort`` in the last event of a sequence, else empty.
    :param prompt_tokens: set in the last event only.
    :param completion_tokens: set in the last event only.
    """

    request_id: str
    token: str = ""
    finish_reason: str = ""
    prompt_tokens: int = 0
    completion_tokens: int = 0


class Step(Struct, frozen=True):
    """Result of one step.

    :param duration_ms: 0 if the batch was empty.
    :param events: events to deliver at the end of the step.
    :param aborted: final events of aborted requests, to deliver at the start of the step.
    """

    duration_ms: float
    events: tuple[TokenEvent, ...]
    aborted: tuple[TokenEvent, ...] = ()


def token_at(prompt: str, index: int) -> str:
    """Return the token at ``index`` of the completion of ``prompt``; all engines generate the same.

    :param index: position in the completion, from 0.
    """
    digest = blake2b(f"{index}:{prompt}".encode(), digest_size=2).digest()
    return VOCABULARY[int.from_bytes(digest, "big") % len(VOCABULARY)] + " "


def expected_text(prompt: str, tokens: int) -> str:
    """Return the text that an engine generates for ``prompt``.

    :param tokens: number of tokens to generate.
    """
    return "".join(token_at(prompt, index) for index in range(tokens))


class EngineModel:
    """Batch, queue and prefix cache of an engine; not thread-safe.

    :ivar running: sequences in the batch.
    :ivar waiting: queued sequences, the oldest first.
    :ivar last_step_ms: duration of the last step that was not empty.
    :ivar cache_changes: key of a prefix block and whether it was stored or evicted, for all changes
        of the cache in order.
    """

    def __init__(self, parameters: EngineParameters) -> None:
        self.parameters = parameters
        self.running: list[Sequence] = []
        self.waiting: deque[Sequence] = deque()
        self.idle_steps = 0
        self.last_step_ms = parameters.base_step_ms
        self._cache: OrderedDict[str, None] = OrderedDict()
        self.cache_changes: list[tuple[str, bool]] = []

    def submit(self, request_id: str, prompt: str, max_tokens: int, resume_text: str = "") -> None:
        """Add a request to the queue.

        :param max_tokens: length of the completion, including the tokens of ``resume_text``.
        :param resume_text: text that an earlier run has generated, to continue it.
        """
        resumed_tokens = len(resume_text.split())
        self.waiting.append(Sequence(request_id, prompt, max_tokens, resumed_tokens))

    def abort(self, request_id: str) -> None:
        """Abort a request at the next step; an unknown id is ignored."""
        for sequence in (*self.running, *self.waiting):
            if sequence.request_id == request_id:
                sequence.is_aborted = True

    def abort_all(self) -> None:
        """Abort all requests at the next step."""
        for sequence in (*self.running, *self.waiting):
            sequence.is_aborted = True

    def step(self) -> Step:
        """Remove aborted requests, fill the batch from the queue and run one step.

        :raises EngineCrashedError: if the prefill of a prompt with the poison marker was completed.
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
        """Return whether the block with this digest is in the prefix cache."""
        return prefix_digest in self._cache

    def import_prefix(self, prefix_digest: str) -> None:
        """Add a block that another engine exported to the prefix cache."""
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
        remaining_tokens = self.parameters.prefill_step_tokens
        for sequence in self.running:
            tokens = min(remaining_tokens, sequence.remaining_prefill_tokens)
            sequence.remaining_prefill_tokens -= tokens
            remaining_tokens -= tokens
            if tokens and not sequence.remaining_prefill_tokens:
                self._finish_prefill(sequence)
        return self.parameters.prefill_step_tokens - remaining_tokens

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
        block_ends = range(CACHE_BLOCK_CHARS, len(prompt) + 1, CACHE_BLOCK_CHARS)
        return [blake2b(prompt[:end].encode(), digest_size=8).hexdigest() for end in block_ends]

    def _cached_chars(self, prompt: str) -> int:
        cached_chars = 0
        for key in self._block_keys(prompt):
            if key not in self._cache:
                break
            self._cache.move_to_end(key)
            cached_chars += CACHE_BLOCK_CHARS
        return cached_chars

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
