"""Implements :class:`Deployment` for the platform."""

from ebonyshore.host.deployment import Deployment
from ebonyshore.host.host_settings import HostSettings
from ebonyshore.host.job_types import JobSubmission, ResultPage
from ebonyshore.host.routes import ServiceConfig
from ebonyshore.host.target import TargetEntry
from ebonyshore.platform.config_object import decode_config
from ebonyshore.platform.job_bodies import (
    decode_submission,
    encode_results,
    encode_retirement_status,
)
from ebonyshore.platform.object_store import PlatformObjectStore
from ebonyshore.platform.settings_file import load_host_settings, settings_path
from ebonyshore.platform.target_entries import decode_start, decode_target_entry
from ebonyshore.platform.wire_names import CONFIG_KEY, RETIREMENTS_KIND, TARGETS_KIND, WIRE_NAMES
from ebonyshore.store.store_http_client import StoreHttpClient
from ebonyshore.store.unreadable_objects import UnreadableObjects

STORE_TIMEOUT_MS = 1_500.0


class PlatformDeployment(Deployment):
    """Settings, store and object formats of the platform, as its documentation specifies them."""

    names = WIRE_NAMES
    config_key = CONFIG_KEY
    targets_kind = TARGETS_KIND
    retirements_kind = RETIREMENTS_KIND

    def load_settings(self) -> HostSettings:
        return load_host_settings(settings_path())

    def open_store(
        self, settings: HostSettings, unreadable: UnreadableObjects
    ) -> PlatformObjectStore:
        http_client = StoreHttpClient(settings.store_url, STORE_TIMEOUT_MS)
        return PlatformObjectStore(http_client, unreadable.report)

    def decode_config(self, value: bytes) -> ServiceConfig:
        return decode_config(value)

    def decode_target(self, target_id: str, value: bytes) -> TargetEntry | None:
        return decode_target_entry(target_id, value)

    def decode_start(self, report: bytes) -> int | None:
        return decode_start(report)

    def decode_submission(self, body: bytes) -> JobSubmission:
        return decode_submission(body)

    def encode_results(self, page: ResultPage) -> bytes:
        return encode_results(page)

    def encode_retirement(self, is_complete: bool) -> bytes:
        return encode_retirement_status(is_complete)
