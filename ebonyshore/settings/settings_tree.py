"""The settings tree: levels, inheritance and validation. Does no I/O.

A level is named by its path: ``/`` (the root), ``/tiers/NAME``, ``/tiers/NAME/models/MODEL`` or
``/callers/NAME``. The node of a level stores only the values that the level overrides; it inherits
all others from the levels above it.
"""

import re
from collections.abc import Callable
from hashlib import sha256
from typing import Annotated

from msgspec import Meta, Struct, ValidationError, convert
from msgspec.structs import fields as struct_fields

from ebonyshore.agent.scheduler import Weighting
from ebonyshore.frame.errors import SettingsError

ROOT_PATH = "/"
_NAME = r"[A-Za-z0-9][A-Za-z0-9._-]*"
_PATH_PATTERN = re.compile(rf"/|/tiers/{_NAME}|/tiers/{_NAME}/models/{_NAME}|/callers/{_NAME}")
_MODEL_PATTERN = re.compile(rf"/tiers/({_NAME})/models/({_NAME})")
_TIER_PATTERN = re.compile(rf"/tiers/({_NAME})")
_CALLER_PATTERN = re.compile(rf"/callers/({_NAME})")

SettingValue = bool | int | float | str
DurationMs = Annotated[float, Meta(gt=0, le=604_800_000)]  # at most 7 days
Ratio = Annotated[float, Meta(ge=0, le=1)]
Rate = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]
CopyCount = Annotated[int, Meta(ge=0, le=10_000)]
KeyDigest = Annotated[str, Meta(pattern=r"^([0-9a-f]{64})?$")]


class EffectiveSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Values of one level after inheritance; the defaults apply where no level sets a value.

    :param first_token_objective_ms: objective for the time to the first token, 95th percentile.
    :param token_interval_objective_ms: objective for the time between tokens, 95th percentile.
    :param weighting: ``harm_first`` or ``throughput_first``.
    :param request_timeout_ms: time limit of a request that has no deadline of its own.
    :param max_output_tokens: maximum number of tokens that a request may ask for.
    :param max_attempts: maximum number of dispatches of one request or batch item.
    :param retry_budget_ratio: allowed retries as a ratio of requests, 0 to 1.
    :param caller_requests_per_s: rate limit for the online requests of each caller.
    :param caller_burst_requests: number of online requests that a caller may send at once.
    :param caller_weight: relative share of the caller's requests under overload.
    :param idempotency_expiry_ms: how long the result of an idempotency key is kept.
    :param suspicion_expiry_ms: how long content stays suspected or convicted.
    :param engine_base_step_ms: estimated step time of the engine with one sequence.
    :param engine_sequence_step_ms: estimated additional step time per further sequence.
    :param allows_anonymous_callers: whether requests without an API key, or with an unknown one,
        are served; can be set at the root only.
    :param api_key_sha256_hex: SHA-256 of the caller's API key in hexadecimal; can be set at
        ``/callers/NAME`` only.
    :param does_place: whether placement loads and unloads copies of the model.
    :param min_copies: number of live copies of the model that are always kept.
    :param max_copies: maximum number of copies that placement loads.
    """

    first_token_objective_ms: DurationMs = 670.0
    token_interval_objective_ms: DurationMs = 26.0
    weighting: Weighting = Weighting.HARM_FIRST
    request_timeout_ms: DurationMs = 30_000.0
    max_output_tokens: Count = 4096
    max_attempts: Count = 4
    retry_budget_ratio: Ratio = 0.1
    caller_requests_per_s: Rate = 100.0
    caller_burst_requests: Count = 200
    caller_weight: Rate = 1.0
    idempotency_expiry_ms: DurationMs = 86_400_000.0
    suspicion_expiry_ms: DurationMs = 600_000.0
    engine_base_step_ms: DurationMs = 8.0
    engine_sequence_step_ms: DurationMs = 0.3
    allows_anonymous_callers: bool = True
    api_key_sha256_hex: KeyDigest = ""
    does_place: bool = False
    min_copies: CopyCount = 1
    max_copies: CopyCount = 10_000


SETTING_NAMES = tuple(field.name for field in struct_fields(EffectiveSettings))
Nodes = dict[str, dict[str, SettingValue]]


class CombinationRule(Struct, frozen=True):
    """A constraint between several effective values of one level.

    :param holds: returns whether the values satisfy the constraint.
    :param text: error message if they do not.
    """

    holds: Callable[[EffectiveSettings], bool]
    text: str


COMBINATION_RULES = (
    CombinationRule(
        lambda s: s.first_token_objective_ms < s.request_timeout_ms,
        "first_token_objective_ms must be less than request_timeout_ms",
    ),
    CombinationRule(
        lambda s: s.engine_base_step_ms <= s.token_interval_objective_ms,
        "engine_base_step_ms must be at most token_interval_objective_ms",
    ),
    CombinationRule(
        lambda s: s.min_copies <= s.max_copies, "min_copies must be at most max_copies"
    ),
)


class SettingsTree:
    """One revision of the tree; immutable.

    Settings that this version of the program does not know are ignored, because a process of a
    newer version may have accepted them.

    :param revision: 0 for the empty tree before the first change.
    :param nodes: overridden values by the path of their level.
    """

    __slots__ = ("_caller_by_digest", "_effective", "_tier_by_model", "nodes", "revision")

    def __init__(self, revision: int, nodes: Nodes) -> None:
        self.revision = revision
        self.nodes = nodes
        self._effective: dict[str, EffectiveSettings] = {}
        self._tier_by_model = {
            match[2]: match[1] for path in nodes if (match := _MODEL_PATTERN.fullmatch(path))
        }
        self._caller_by_digest = {
            node["api_key_sha256_hex"]: match[1]
            for path, node in nodes.items()
            if (match := _CALLER_PATTERN.fullmatch(path)) and node.get("api_key_sha256_hex")
        }

    def root(self) -> EffectiveSettings:
        """Return the effective values at the root."""
        return self.effective(ROOT_PATH)

    def effective(self, path: str) -> EffectiveSettings:
        """Return the effective values at ``path``, which need not have a node of its own.

        :raises SettingsError: if the path or a value is invalid.
        """
        cached = self._effective.get(path)
        if cached is None:
            merged = _merge_levels(self.nodes, path)
            known = {name: value for name, value in merged.items() if name in SETTING_NAMES}
            cached = _convert(path, known)
            self._effective[path] = cached
        return cached

    def tiers(self) -> tuple[str, ...]:
        """Return the names of all tiers, sorted."""
        matches = (_TIER_PATTERN.fullmatch(path) for path in self.nodes)
        return tuple(sorted(match[1] for match in matches if match))

    def models(self) -> tuple[str, ...]:
        """Return the models of all tiers, sorted."""
        return tuple(sorted(self._tier_by_model))

    def tier_of(self, model: str) -> str | None:
        """Return the tier that serves ``model``, or ``None`` if no tier does."""
        return self._tier_by_model.get(model)

    def for_model(self, model: str) -> EffectiveSettings:
        """Return the effective values for ``model``, or those of the root if no tier serves it."""
        tier = self._tier_by_model.get(model)
        return self.effective(f"/tiers/{tier}/models/{model}") if tier else self.root()

    def for_caller(self, caller: str) -> EffectiveSettings:
        """Return the effective values for the caller account ``caller``.

        :raises SettingsError: if ``caller`` is not a valid name of an account.
        """
        return self.effective(f"/callers/{caller}")

    def caller_of(self, api_key: str) -> str | None:
        """Return the caller account with this API key, or ``None`` if there is none."""
        return self._caller_by_digest.get(sha256(api_key.encode()).hexdigest())


def levels_down_to(path: str) -> tuple[str, ...]:
    """Return the levels from the root down to ``path``, both included.

    :raises SettingsError: if the path does not name a level.
    """
    if not _PATH_PATTERN.fullmatch(path):
        raise SettingsError(
            f"{path}: not a level; allowed: /, /tiers/NAME, /tiers/NAME/models/MODEL, /callers/NAME"
        )
    if path == ROOT_PATH:
        return (ROOT_PATH,)
    parts = path.strip("/").split("/")
    levels = ["/" + "/".join(parts[:end]) for end in range(2, len(parts) + 1, 2)]
    return (ROOT_PATH, *levels)


def find_tree_faults(nodes: Nodes) -> list[str]:
    """Validate the effective values of all levels.

    :return: one message per fault; empty if the tree is valid.
    """
    faults: list[str] = []
    for path, node in nodes.items():
        try:
            faults += _level_faults(nodes, path, node)
        except SettingsError as error:
            faults.append(error.detail)
    return faults + _model_faults(nodes) + _key_faults(nodes)


def _level_faults(nodes: Nodes, path: str, node: dict[str, SettingValue]) -> list[str]:
    merged = _merge_levels(nodes, path)
    unknown = [name for name in node if name not in SETTING_NAMES]
    if unknown:
        allowed = ", ".join(SETTING_NAMES)
        return [f"{path}: unknown setting {', '.join(unknown)}; allowed: {allowed}"]
    faults = _value_faults(path, merged)
    if faults:
        return faults
    effective = _convert(path, merged)
    faults = [f"{path}: {rule.text}" for rule in COMBINATION_RULES if not rule.holds(effective)]
    if "allows_anonymous_callers" in node and path != ROOT_PATH:
        faults.append(f"{path}: allows_anonymous_callers can be set at / only")
    if "api_key_sha256_hex" in node and not _CALLER_PATTERN.fullmatch(path):
        faults.append(f"{path}: api_key_sha256_hex can be set at /callers/NAME only")
    return faults


def _value_faults(path: str, values: dict[str, SettingValue]) -> list[str]:
    faults = []
    for name, value in values.items():
        try:
            convert({name: value}, EffectiveSettings)
        except ValidationError as error:
            faults.append(f"{path}: {name}: found {value!r}; {error}")
    return faults


def _model_faults(nodes: Nodes) -> list[str]:
    faults = []
    tier_by_model: dict[str, str] = {}
    for path in nodes:
        match = _MODEL_PATTERN.fullmatch(path)
        if match is None:
            continue
        tier, model = match[1], match[2]
        if f"/tiers/{tier}" not in nodes:
            faults.append(f"{path}: there is no tier {tier}")
        other = tier_by_model.setdefault(model, tier)
        if other != tier:
            faults.append(f"{path}: tier {other} already serves this model")
    return faults


def _key_faults(nodes: Nodes) -> list[str]:
    faults = []
    path_by_digest: dict[SettingValue, str] = {}
    for path, node in nodes.items():
        digest = node.get("api_key_sha256_hex")
        other = path_by_digest.setdefault(digest, path) if digest else path
        if other != path:
            faults.append(f"{path}: api_key_sha256_hex is already used by {other}")
    return faults


def _merge_levels(nodes: Nodes, path: str) -> dict[str, SettingValue]:
    merged: dict[str, SettingValue] = {}
    for level in levels_down_to(path):
        merged.update(nodes.get(level, {}))
    return merged


def _convert(path: str, values: dict[str, SettingValue]) -> EffectiveSettings:
    try:
        return convert(values, EffectiveSettings)
    except ValidationError as error:
        raise SettingsError(f"{path}: {error}") from error
