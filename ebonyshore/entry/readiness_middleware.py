"""WSGI middleware that refuses requests until the process has loaded its settings."""

from collections.abc import Callable

from ebonyshore.frame.admin_api import error_response
from ebonyshore.frame.errors import RefusedError
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.settings.settings_service import SettingsService

RETRY_AFTER_MS = 2_000


class ReadinessMiddleware:
    """Refuses requests with the code ``NOT_READY`` until a settings revision is in force.

    :param app: the WSGI application that serves requests once the process is ready.
    """

    __slots__ = ("_app", "_settings")

    def __init__(self, app: Callable[..., object], settings: SettingsService) -> None:
        self._app = app
        self._settings = settings

    def __call__(self, environ: dict[str, object], start_response: Callable[..., object]) -> object:
        if self._settings.is_ready:
            return self._app(environ, start_response)
        error = RefusedError(
            "no settings revision is in force yet",
            code=ResultCode.NOT_READY,
            retry_after_ms=RETRY_AFTER_MS,
        )
        return error_response(error)(environ, start_response)
