"""What the system expects of the platform: an object store, an instance list, a weight store."""

from abc import ABC, abstractmethod
from typing import Literal

from msgspec import Struct

MAX_VALUE_BYTES = 1_000_000
ABSENT_VERSION = 0


class StoredObject(Struct, frozen=True):
    """One object at one version.

    :param key: slash-separated key.
    :param version: store-wide revision of the object's last write; grows with each write.
    :param value: at most :data:`MAX_VALUE_BYTES`; ``None`` for a deletion seen by a watch.
    """

    key: str
    version: int
    value: bytes | None


class ObjectSummary(Struct, frozen=True):
    """Key and version of an object, without its value."""

    key: str
    version: int


class WatchResult(Struct, frozen=True):
    """Answer of a watch.

    :param revision: pass it as ``since`` to the next watch.
    :param changes: the latest version of each object that changed.
    """

    revision: int
    changes: tuple[StoredObject, ...]


class ObjectStore(ABC):
    """The platform's object API. Every method may raise ``StoreUnavailableError``.

    Each call counts against the platform's rates, a waiting watch as one call.
    """

    @abstractmethod
    def get(self, key: str) -> StoredObject | None:
        """Return the object, or ``None`` if there is none."""

    @abstractmethod
    def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write the object if its version is the expected one.

        :param expected_version: :data:`ABSENT_VERSION` to create.
        :return: the new version.
        :raises WriteConflictError: if the version is another one; nothing was written.
        :raises WriteOutcomeUnknownError: if the answer was lost.
        """

    @abstractmethod
    def delete(self, key: str, expected_version: int) -> None:
        """Delete the object if its version is the expected one; errors as for :meth:`put`."""

    @abstractmethod
    def list_keys(
        self, prefix: str, start_after: str = "", limit: int = 1000
    ) -> list[ObjectSummary]:
        """Return at most ``limit`` objects below ``prefix`` in key order."""

    @abstractmethod
    def watch(self, prefix: str, since: int, timeout_ms: int) -> WatchResult:
        """Wait until an object below ``prefix`` has a version above ``since``.

        :param timeout_ms: 0 only checks; the result has no changes when it passes.
        :raises HistoryLostError: if the store no longer knows what changed since.
        """

    def cancel_watches(self) -> None:  # noqa: B027 - a store without connections has none to end
        """End waiting watches with ``StoreUnavailableError`` and start no more; for a stop."""


class Listing(Struct, frozen=True):
    """All objects of a kind.

    :param revision: pass it to a watch to hear what changed since.
    """

    revision: int
    objects: tuple[StoredObject, ...]


class ListingStore(ObjectStore):
    """A store whose objects are listed with their values, and have a status beside the value.

    The first part of a key is the object's kind.
    """

    @abstractmethod
    def list_objects(self, kind: str) -> Listing:
        """Return all objects of a kind."""

    @abstractmethod
    def get_stale(self, key: str) -> StoredObject | None:
        """Return an object as it may have been seconds ago; a cheap sign that the store answers."""

    @abstractmethod
    def interrupt_watches(self) -> None:
        """End waiting watches with ``StoreUnavailableError``; they may be started again."""

    @abstractmethod
    def put_status(self, key: str, value: bytes, expected_version: int) -> int:
        """Write an object's status; errors as for :meth:`put`."""


class Instance(Struct, frozen=True):
    """An entry of the platform's instance list.

    :param instance_id: unique name.
    :param role: what runs there.
    :param address: ZeroMQ address of the agent (``tcp://IP:PORT``) or HTTP address of an entry.
    :param region: region.
    :param failure_domain: failure domain.
    :param state: ``live`` or ``leaving``.
    :param models: models (or the service's name) that a target was set up with.
    """

    instance_id: str
    role: Literal["entry", "target"]
    address: str
    region: str = "default"
    failure_domain: str = "default"
    state: Literal["live", "leaving"] = "live"
    models: tuple[str, ...] = ()


class InstanceList(ABC):
    """The platform's list of instances; it lags behind the truth."""

    @abstractmethod
    def list_instances(self) -> list[Instance]:
        """Return the instances known.

        :raises StoreUnavailableError: if the platform does not answer.
        """


class WeightGrant(Struct, frozen=True):
    """Permission to load weights.

    :param wait_ms: 0 if loading may begin now, else when to ask again.
    """

    wait_ms: int


class WeightStore(ABC):
    """The platform's rate-limited weight store."""

    @abstractmethod
    def request_weights(self, model: str) -> WeightGrant:
        """Ask to load the weights of ``model``.

        :raises StoreUnavailableError: if the platform does not answer.
        """
