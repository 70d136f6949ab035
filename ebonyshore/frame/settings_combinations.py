"""Combinations of process settings that are valid one by one but unsuitable together."""

from collections.abc import Callable, Iterator, Mapping

from msgspec import Struct

from ebonyshore.frame.settings_faults import SettingsFault
from ebonyshore.settings.settings_tree import EffectiveSettings

Sections = Mapping[str, Struct]
Rule = Callable[..., Iterator[SettingsFault]]


def find_combination_faults(sections: Sections) -> list[SettingsFault]:
    """Return every unsuitable combination.

    :param sections: the valid sections by name; rules that need another one are passed over.
    """
    faults: list[SettingsFault] = []
    for names, rule in _RULES:
        if all(name in sections for name in names):
            faults += rule(*(sections[name] for name in names))
    return faults


def _judge_batch(batch: Struct) -> Iterator[SettingsFault]:
    if batch.lease_interval_ms <= batch.checkpoint_interval_ms:
        yield SettingsFault(
            "batch.lease_interval_ms",
            str(batch.lease_interval_ms),
            f"more than batch.checkpoint_interval_ms, {batch.checkpoint_interval_ms}, because the "
            "checkpoint renews the lease",
        )
    if batch.permit_interval_ms > batch.lease_interval_ms:
        yield SettingsFault(
            "batch.permit_interval_ms",
            str(batch.permit_interval_ms),
            f"at most batch.lease_interval_ms, {batch.lease_interval_ms}, because another entry "
            "may then run the shard",
        )


def _judge_renewal(batch: Struct, platform: Struct) -> Iterator[SettingsFault]:
    least_ms = batch.checkpoint_interval_ms + platform.timeout_ms
    if batch.checkpoint_interval_ms < batch.lease_interval_ms <= least_ms:
        yield SettingsFault(
            "batch.lease_interval_ms",
            str(batch.lease_interval_ms),
            f"more than batch.checkpoint_interval_ms plus platform.timeout_ms, {least_ms}, because "
            "one slow write would lose the lease",
        )


def _judge_drain(drain: Struct) -> Iterator[SettingsFault]:
    timeout_ms = EffectiveSettings().request_timeout_ms
    if drain.bound_ms < timeout_ms:
        yield SettingsFault(
            "drain.bound_ms",
            str(drain.bound_ms),
            f"at least the default request timeout, {timeout_ms:.0f}, because a planned stop would "
            "cut off requests",
        )


def _judge_http(http: Struct, admin: Struct) -> Iterator[SettingsFault]:
    if http.port == admin.port and http.listen_address == admin.listen_address:
        yield SettingsFault("http.port", str(http.port), "another port than admin.port")


def _judge_target(target: Struct, admin: Struct) -> Iterator[SettingsFault]:
    if target.port == admin.port and target.listen_address == admin.listen_address:
        yield SettingsFault("target.port", str(target.port), "another port than admin.port")
    yield from _duplicates("target.models", target.models)


def _judge_peers(peers: Struct) -> Iterator[SettingsFault]:
    yield from _duplicates("peers.agent_addresses", peers.agent_addresses)


def _duplicates(key_path: str, values: list[str]) -> Iterator[SettingsFault]:
    for index, value in enumerate(values):
        if value in values[:index]:
            yield SettingsFault(f"{key_path}[{index}]", repr(value), "each value once")


_RULES: tuple[tuple[tuple[str, ...], Rule], ...] = (
    (("batch",), _judge_batch),
    (("batch", "platform"), _judge_renewal),
    (("drain",), _judge_drain),
    (("http", "admin"), _judge_http),
    (("target", "admin"), _judge_target),
    (("peers",), _judge_peers),
)
