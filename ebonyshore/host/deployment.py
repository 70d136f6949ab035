"""What differs between deployments: the settings, the store, how its objects are read."""

from abc import ABC, abstractmethod

from ebonyshore.host.host_settings import HostSettings
from ebonyshore.host.job_types import JobSubmission, ResultPage
from ebonyshore.host.routes import ServiceConfig
from ebonyshore.host.targets import TargetEntry
from ebonyshore.host.wire_names import WireNames
from ebonyshore.store.platform_api import ListingStore


class Deployment(ABC):
    """The platform that a process runs on.

    :ivar names: of headers and paths.
    :ivar config_key: store key of the configuration.
    :ivar targets_kind: kind of the targets' entries.
    :ivar retirements_kind: kind of the requests to empty an instance.
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
    def open_store(self, settings: HostSettings) -> ListingStore:
        """Return a client of the platform's store."""

    @abstractmethod
    def decode_config(self, value: bytes) -> ServiceConfig:
        """Return the configuration in an object.

        :raises ValueError: if it is not one.
        """

    @abstractmethod
    def decode_target(self, target_id: str, value: bytes) -> TargetEntry | None:
        """Return a target's entry; ``None`` if it names no usable target."""

    @abstractmethod
    def decode_submission(self, body: bytes) -> JobSubmission:
        """Return the batch job in a request's body.

        :raises ValueError: if it is not one.
        """

    @abstractmethod
    def encode_results(self, page: ResultPage) -> bytes:
        """Return the body that lists results."""

    @abstractmethod
    def encode_retirement(self, is_complete: bool) -> bytes:
        """Return the status of a request to empty an instance."""
