"""The settings tree: levels that inherit, effective values, validation. Pure and immutable.

A node is a level of the tree, named by its path: ``/`` for all, ``/tiers/NAME``,
``/tiers/NAME/models/MODEL`` and ``/callers/NAME``. A node holds only what it overrides.
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
DurationMs = Annotated[float, Meta(gt=0, le=604_800_000)]
Ratio = Annotated[float, Meta(ge=0, le=1)]
Rate = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]
CopyCount = Annotated[int, Meta(ge=0, le=10_000)]
KeyDigest = Annotated[str, Meta(pattern=r"^([0-9a-f]{64})?$")]


class EffectiveSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Values in force at one node; the defaults are those of the root.

    :param first_token_objective_ms: objective of the first token, 95th percentile.
    :param token_interval_objective_ms: objective between tokens, 95th percentile.
    :param weighting: ``harm_first`` or ``throughput_first``.
    :param request_timeout_ms: deadline of a request that names none.
    :param max_output_tokens: most tokens that a request may ask for.
    :param max_attempts: dispatches of one request or item before it is given up.
    :param retry_budget_ratio: retries allowed as a share of requests.
    :param caller_requests_per_s: limit of each caller's online requests.
    :param caller_burst_requests: online requests that a caller may send at once.
    :param caller_weight: share of the caller under overload.
    :param idempotency_expiry_ms: how long the result of an idempotency key is kept.
    :param suspicion_expiry_ms: how long content stays suspected or convicted.
    :param engine_base_step_ms: estimated engine step time with one sequence.
    :param engine_sequence_step_ms: estimated additional step time of each further sequence.
    :param allows_anonymous_callers: whether requests with an unknown API key, or none, are served;
        at the root only.
    :param api_key_sha256_hex: SHA-256 of the caller's API key; at ``/callers/NAME`` only.
    :param does_place: whether the placement duty loads and unloads the model.
    :param min_copies: live copies of the model that are always kept.
    :param max_copies: most copies that placement loads.
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
    """A condition between the effective values of one level."""

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
    """One revision of the tree.

    Settings that this version of the program does not know are passed over: a newer process may
    have accepted them.

    :param revision: 0 for the empty tree before the first change.
    :param nodes: overrides by path.
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
        """Return the values in force at the root."""
        return self.effective(ROOT_PATH)

    def effective(self, path: str) -> EffectiveSettings:
        """Return the values in force at ``path``, which need not have a node of its own.

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
        """Return the names of the tiers."""
        matches = (_TIER_PATTERN.fullmatch(path) for path in self.nodes)
        return tuple(sorted(match[1] for match in matches if match))

    def models(self) -> tuple[str, ...]:
        """Return the models of all tiers."""
        return tuple(sorted(self._tier_by_model))

    def tier_of(self, model: str) -> str | None:
        """Return the tier that serves ``model``."""
        return self._tier_by_model.get(model)

    def for_model(self, model: str) -> EffectiveSettings:
        """Return the values in force for ``model``; those of the root if no tier serves it."""
        tier = self._tier_by_model.get(model)
        return self.effective(f"/tiers/{tier}/models/{model}") if tier else self.root()

    def for_caller(self, caller: str) -> EffectiveSettings:
        """Return the values in force for a caller."""
        return self.effective(f"/callers/{caller}")

    def caller_of(self, api_key: str) -> str | None:
        """Return the name of the caller account that an API key belongs to."""
        return self._caller_by_digest.get(sha256(api_key.encode()).hexdigest())


def ancestors(path: str) -> tuple[str, ...]:
    """Return the path and the levels above it, outermost first.

    :raises SettingsError: if the path names no level.
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
    """Return every fault of a tree; the effective values of all levels are judged."""
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
            faults.append(f"{path}: tier {other} serves this model already")
    return faults


def _key_faults(nodes: Nodes) -> list[str]:
    faults = []
    path_by_digest: dict[SettingValue, str] = {}
    for path, node in nodes.items():
        digest = node.get("api_key_sha256_hex")
        other = path_by_digest.setdefault(digest, path) if digest else path
        if other != path:
            faults.append(f"{path}: {other} has the same api_key_sha256_hex")
    return faults


def _merge_levels(nodes: Nodes, path: str) -> dict[str, SettingValue]:
    merged: dict[str, SettingValue] = {}
    for ancestor in ancestors(path):
        merged.update(nodes.get(ancestor, {}))
    return merged


def _convert(path: str, values: dict[str, SettingValue]) -> EffectiveSettings:
    try:
        return convert(values, EffectiveSettings)
    except ValidationError as error:
        raise SettingsError(f"{path}: {error}") from error
