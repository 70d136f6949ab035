"""Checks process settings that are valid by themselves against each other."""

from collections.abc import Callable, Iterator, Mapping

from msgspec import Struct

from ebonyshore.frame.settings_faults import SettingsFault
from ebonyshore.settings.settings_tree import EffectiveSettings

Sections = Mapping[str, Struct]
Rule = Callable[..., Iterator[SettingsFault]]


def find_combination_faults(sections: Sections) -> list[SettingsFault]:
    """Return a fault for each combination of settings that is not allowed.

    :param sections: the valid sections by name. A rule that needs a section that is not among them
        is skipped.
    """
    faults: list[SettingsFault] = []
    for names, rule in _RULES:
        if all(name in sections for name in names):
            faults += rule(*(sections[name] for name in names))
    return faults


def _check_batch(batch: Struct) -> Iterator[SettingsFault]:
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


def _check_lease_renewal(batch: Struct, platform: Struct) -> Iterator[SettingsFault]:
    renewal_ms = batch.checkpoint_interval_ms + platform.timeout_ms
    if batch.checkpoint_interval_ms < batch.lease_interval_ms <= renewal_ms:
        yield SettingsFault(
            "batch.lease_interval_ms",
            str(batch.lease_interval_ms),
            f"more than batch.checkpoint_interval_ms plus platform.timeout_ms, {renewal_ms}, "
            "because one slow write would lose the lease",
        )


def _check_drain(drain: Struct) -> Iterator[SettingsFault]:
    timeout_ms = EffectiveSettings().request_timeout_ms
    if drain.bound_ms < timeout_ms:
        yield SettingsFault(
            "drain.bound_ms",
            str(drain.bound_ms),
            f"at least the default request timeout, {timeout_ms:.0f}, because a planned stop would "
            "cut off requests",
        )


def _check_http_port(http: Struct, admin: Struct) -> Iterator[SettingsFault]:
    if http.port == admin.port and http.listen_address == admin.listen_address:
        yield SettingsFault("http.port", str(http.port), "another port than admin.port")


def _check_target(target: Struct, admin: Struct) -> Iterator[SettingsFault]:
    if target.port == admin.port and target.listen_address == admin.listen_address:
        yield SettingsFault("target.port", str(target.port), "another port than admin.port")
    yield from _find_duplicates("target.models", target.models)


def _check_peers(peers: Struct) -> Iterator[SettingsFault]:
    yield from _find_duplicates("peers.agent_addresses", peers.agent_addresses)


def _find_duplicates(key_path: str, values: list[str]) -> Iterator[SettingsFault]:
    for index, value in enumerate(values):
        if value in values[:index]:
            yield SettingsFault(f"{key_path}[{index}]", repr(value), "each value once")


_RULES: tuple[tuple[tuple[str, ...], Rule], ...] = (
    (("batch",), _check_batch),
    (("batch", "platform"), _check_lease_renewal),
    (("drain",), _check_drain),
    (("http", "admin"), _check_http_port),
    (("target", "admin"), _check_target),
    (("peers",), _check_peers),
)
