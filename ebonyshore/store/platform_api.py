"""Interfaces of the platform services: object store, instance list and weight store."""

from abc import ABC, abstractmethod
from typing import Literal

from msgspec import Struct

MAX_VALUE_BYTES = 1_000_000
ABSENT_VERSION = 0


class StoredObject(Struct, frozen=True):
    """One version of an object.

    :param key: slash-separated key.
    :param version: store-wide revision of the object's last write; increases with each write.
    :param value: at most :data:`MAX_VALUE_BYTES` long; ``None`` for a deletion returned by a watch.
    """

    key: str
    version: int
    value: bytes | None


class ObjectSummary(Struct, frozen=True):
    """Key and version of an object, without the value."""

    key: str
    version: int


class WatchResult(Struct, frozen=True):
    """Result of a watch.

    :param revision: store revision to pass as ``since`` to the next watch.
    :param changes: the latest version of each object that changed.
    """

    revision: int
    changes: tuple[StoredObject, ...]


class ObjectStore(ABC):
    """The platform's object store. Every method may raise ``StoreUnavailableError``.

    Each call counts towards the platform's rate limits; a watch counts as one call, however long it
    waits.
    """

    @abstractmethod
    def get(self, key: str) -> StoredObject | None:
        """Return the object, or ``None`` if it does not exist."""

    @abstractmethod
    def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write the object if it has the expected version.

        :param expected_version: :data:`ABSENT_VERSION` to create the object.
        :return: the new version.
        :raises WriteConflictError: if the object has another version; nothing was written.
        :raises WriteRefusedError: if the store refuses the write for good; nothing was written.
        :raises WriteOutcomeUnknownError: if the response was lost; the write may have taken effect.
        """

    @abstractmethod
    def delete(self, key: str, expected_version: int) -> None:
        """Delete the object if it has the expected version; raises the errors of :meth:`put`."""

    @abstractmethod
    def list_keys(
        self, prefix: str, start_after: str = "", limit: int = 1000
    ) -> list[ObjectSummary]:
        """Return the objects whose keys start with ``prefix``, in the order of their keys.

        :param start_after: only return objects with keys greater than this one.
        :param limit: maximum number of objects to return.
        """

    @abstractmethod
    def watch(self, prefix: str, since: int, timeout_ms: int) -> WatchResult:
        """Wait until an object whose key starts with ``prefix`` has a version above ``since``.

        :param since: store revision, as in :class:`WatchResult` or :class:`Listing`.
        :param timeout_ms: how long to wait; 0 returns at once. If it passes without a change, the
            result contains no changes.
        :raises HistoryLostError: if the store no longer keeps the changes since that revision.
        """

    def cancel_watches(self) -> None:  # noqa: B027 - stores without connections may omit it
        """End pending watches with ``StoreUnavailableError``, and fail all later ones.

        Called when the process stops.
        """


class Listing(Struct, frozen=True):
    """All objects of a kind.

    :param revision: store revision to pass as ``since`` to a watch for later changes.
    :param objects: the objects with their values.
    """

    revision: int
    objects: tuple[StoredObject, ...]


class ListingStore(ObjectStore):
    """An object store that can list all objects of a kind, and in which objects have a status.

    The kind of an object is the part of its key before the first slash. A watch always covers the
    whole kind to which its prefix belongs. The status is stored separately from the value.
    """

    @abstractmethod
    def list_objects(self, kind: str) -> Listing:
        """Return all objects of a kind with their values."""

    @abstractmethod
    def get_stale(self, key: str) -> StoredObject | None:
        """Return an object as it was up to some seconds ago, or ``None`` if it did not exist.

        Cheaper than :meth:`get`; also used to check whether the store responds.
        """

    @abstractmethod
    def interrupt_watches(self, kind: str | None = None) -> None:
        """End pending watches with ``StoreUnavailableError``; new ones may be started.

        :param kind: only watches of this kind; ``None`` for all.
        """

    @abstractmethod
    def put_status(self, key: str, value: bytes, expected_version: int) -> int:
        """Write the status of an object if the object has the expected version.

        :return: the new version.
        :raises WriteConflictError: as for :meth:`put`.
        :raises WriteOutcomeUnknownError: as for :meth:`put`.
        """


class Instance(Struct, frozen=True):
    """An entry of the platform's instance list.

    :param instance_id: unique id of the instance.
    :param role: ``entry`` or ``target``.
    :param address: ZeroMQ address of a target's agent (``tcp://IP:PORT``) or HTTP address of an
        entry.
    :param state: ``live`` or ``leaving``.
    :param models: models, or the name of the service, for which a target was configured.
    """

    instance_id: str
    role: Literal["entry", "target"]
    address: str
    region: str = "default"
    failure_domain: str = "default"
    state: Literal["live", "leaving"] = "live"
    models: tuple[str, ...] = ()


class InstanceList(ABC):
    """The platform's list of instances, which may be outdated."""

    @abstractmethod
    def list_instances(self) -> list[Instance]:
        """Return all listed instances.

        :raises StoreUnavailableError: if the platform does not respond.
        """


class WeightGrant(Struct, frozen=True):
    """Response to a request to load weights.

    :param wait_ms: 0 if loading may start now, else the time after which to ask again.
    """

    wait_ms: int


class WeightStore(ABC):
    """The platform's store of model weights, which limits the rate of loading."""

    @abstractmethod
    def request_weights(self, model: str) -> WeightGrant:
        """Request permission to load the weights of ``model``.

        :raises StoreUnavailableError: if the platform does not respond.
        """
