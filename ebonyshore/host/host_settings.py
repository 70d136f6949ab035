"""Settings of a process and of the instance that it runs on."""

from pathlib import Path

from msgspec import Struct

from ebonyshore.host.connection_limits import ConnectionLimits, connection_limits
from ebonyshore.link.account_limit import QuotaRule
from ebonyshore.store.value_limit import ValueLimit


class ListenAddress(Struct, frozen=True):
    """An IP address and a port."""

    host: str
    port: int


class HostSettings(Struct, frozen=True):
    """Settings that the deployment provides to a process.

    :param instance_id: name of the instance; it stays the same over restarts.
    :param failure_domain: failure domain of the instance.
    :param region: region of the instance.
    :param ip: IP address at which other instances reach this one.
    :param front: listen address for callers; ``None`` on instances that take no callers.
    :param ready: listen address for the load balancer's health checks; ``None`` on instances that
        take no callers.
    :param first_internal_port: first port of the range for traffic between instances.
    :param last_internal_port: last port of that range.
    :param store_url: base URL of the platform's store.
    :param grace_ms: time between the stop signal and the kill of the process.
    :param result_retention_ms: time after the submission of a job for which its results can be
        read.
    :param revocation_ms: time after the acknowledgement of a configuration that removes a key, from
        which no request with that key may run, at any instance; ``None`` if that is not required.
    :param quota_window_ms: length of the spans over which the requests of a client account are
        limited.
    :param quota_overage: part of an account's limit that may be exceeded in such a span.
    :param quota_slack: requests by which it may be exceeded besides.
    :param max_store_age_ms: time after the acknowledgement of a change in the store, of the
        configuration or of a job, within which it has to take effect at every process.
    :param memory_bytes: limit of the memory of a process; ``None`` if there is none.
    :param max_descriptors: limit of the descriptors of a process; ``None`` if only the system has
        one.
    :param value_limit: how much fits into one object of the store.
    :param data_folder: folder for files on the disk of the instance; ``None`` if it has no disk.
    """

    instance_id: str
    failure_domain: str
    region: str
    ip: str
    front: ListenAddress | None
    ready: ListenAddress | None
    first_internal_port: int
    last_internal_port: int
    store_url: str
    grace_ms: float
    result_retention_ms: float
    revocation_ms: float | None = None
    quota_window_ms: float = 5_000.0
    quota_overage: float = 0.0
    quota_slack: float = 0.0
    memory_bytes: int | None = None
    max_descriptors: int | None = None
    max_store_age_ms: float = 2_000.0
    value_limit: ValueLimit = ValueLimit()
    data_folder: Path | None = None

    @property
    def connection_limits(self) -> ConnectionLimits:
        """How many connections the servers of a process may have."""
        return connection_limits(self.max_descriptors, self.memory_bytes)

    @property
    def quota_rule(self) -> QuotaRule:
        """What the requests of a client account may exceed its limit by."""
        return QuotaRule(self.quota_window_ms, self.quota_overage, self.quota_slack)
