"""What a process is told about the instance that it runs on."""

from msgspec import Struct


class ListenAddress(Struct, frozen=True):
    """An IP address and a port."""

    host: str
    port: int


class HostSettings(Struct, frozen=True):
    """Settings that the deployment gives to a process.

    :param instance_id: name of the instance, kept over restarts.
    :param failure_domain: of the instance.
    :param region: of the instance.
    :param ip: address that other instances reach it at.
    :param front: where callers connect; ``None`` on instances that take none.
    :param ready: where the balancer asks for readiness.
    :param first_internal_port: first of the ports between instances.
    :param last_internal_port: last of them.
    :param store_url: base URL of the platform's store.
    :param grace_ms: from the signal to stop until the process is killed.
    :param result_retention_ms: how long results stay readable after a job was submitted.
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
