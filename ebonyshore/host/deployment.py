"""Interface to the platform: its settings, its store and the formats of the store's objects."""

from abc import ABC, abstractmethod

from ebonyshore.host.host_settings import HostSettings
from ebonyshore.host.job_types import JobSubmission, ResultPage
from ebonyshore.host.routes import ServiceConfig
from ebonyshore.host.target import TargetEntry
from ebonyshore.host.wire_names import WireNames
from ebonyshore.store.platform_api import ListingStore
from ebonyshore.store.unreadable_objects import UnreadableObjects


class Deployment(ABC):
    """The platform that a process runs on.

    :ivar names: names of headers, paths and query fields.
    :ivar config_key: store key of the configuration, as ``KIND/NAME``.
    :ivar targets_kind: kind of the objects that list the targets.
    :ivar retirements_kind: kind of the objects that request the retirement of an instance.
    """

    names: WireNames
    config_key: str
    targets_kind: str
    retirements_kind: str

    @abstractmethod
    def load_settings(self) -> HostSettings:
        """Return the settings of this process.

        :raises SettingsError: if they are missing or invalid.
        """

    @abstractmethod
    def open_store(self, settings: HostSettings, unreadable: UnreadableObjects) -> ListingStore:
        """Return a client of the platform's store.

        :param unreadable: told of objects that cannot be read.
        """

    @abstractmethod
    def decode_config(self, value: bytes) -> ServiceConfig:
        """Decode the value of the configuration object.

        :raises ValueError: if it is not a valid configuration.
        """

    @abstractmethod
    def decode_target(self, target_id: str, value: bytes) -> TargetEntry | None:
        """Decode a target's entry; ``None`` if it does not describe a usable target."""

    @abstractmethod
    def decode_start(self, report: bytes) -> int | None:
        """Return a target's start, in Unix milliseconds, from its load report.

        ``None`` if the report does not tell it.
        """

    @abstractmethod
    def decode_submission(self, body: bytes) -> JobSubmission:
        """Decode the batch job in the body of a request.

        :raises ValueError: if the body is not a valid job.
        """

    @abstractmethod
    def encode_results(self, page: ResultPage) -> bytes:
        """Encode a page of results as the body of a response."""

    @abstractmethod
    def encode_retirement(self, is_complete: bool) -> bytes:
        """Encode the status of the retirement of an instance.

        :param is_complete: whether the instance is retired.
        """
