"""HTTP server of the stand-in platform.

Paths below ``/control`` are for tests and not part of the platform: they add and remove instances,
inject faults, apply held writes and return call counts.
"""

import argparse
from collections.abc import Callable

from msgspec import convert
from msgspec.json import decode, encode
from waitress import create_server
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from ebonyshore.frame.clock import SystemClock
from ebonyshore.frame.errors import (
    StoreError,
    StoreUnavailableError,
    ValueTooLargeError,
    WriteConflictError,
    WriteOutcomeUnknownError,
)
from ebonyshore.store.platform_api import ABSENT_VERSION, Instance
from ebonyshore_standins.memory_platform import MemoryPlatform, PlatformFaults

SERVER_THREADS = 256  # each waiting watch occupies a thread

_ROUTES = Map(
    [
        Rule("/objects", endpoint="list", methods=["GET"]),
        Rule("/objects/<path:key>", endpoint="get", methods=["GET"]),
        Rule("/objects/<path:key>", endpoint="put", methods=["PUT"]),
        Rule("/objects/<path:key>", endpoint="delete", methods=["DELETE"]),
        Rule("/watch", endpoint="watch", methods=["GET"]),
        Rule("/instances", endpoint="instances", methods=["GET"]),
        Rule("/weights", endpoint="weights", methods=["POST"]),
        Rule("/control/instances", endpoint="set_instance", methods=["POST"]),
        Rule("/control/instances/<instance_id>", endpoint="remove_instance", methods=["DELETE"]),
        Rule("/control/faults", endpoint="faults", methods=["PUT"]),
        Rule("/control/held", endpoint="held", methods=["POST"]),
        Rule("/control/calls", endpoint="calls", methods=["GET"]),
    ]
)


class PlatformApp:
    """WSGI application that serves a :class:`MemoryPlatform`.

    The endpoint ``list`` of the routes is served by the method ``_list``, and so on.
    """

    def __init__(self, platform: MemoryPlatform) -> None:
        self._platform = platform

    def __call__(
        self, environ: dict[str, object], start_response: Callable[..., object]
    ) -> list[bytes]:
        response = self._respond(Request(environ))
        return response(environ, start_response)

    def _respond(self, request: Request) -> Response:
        try:
            endpoint, values = _ROUTES.bind_to_environ(request.environ).match()
            return getattr(self, f"_{endpoint}")(request, **values)
        except WriteConflictError as error:
            return Response(str(error), 412)
        except WriteOutcomeUnknownError as error:
            return Response(str(error), 504)
        except StoreUnavailableError as error:
            return Response(str(error), 503)
        except ValueTooLargeError as error:
            return Response(str(error), 413)
        except StoreError as error:
            return Response(str(error), 400)
        except HTTPException as error:
            return error.get_response(request.environ)

    def _list(self, request: Request) -> Response:
        parameters = request.args
        return _json_response(
            self._platform.list_keys(
                parameters.get("prefix", ""),
                parameters.get("start_after", ""),
                parameters.get("limit", 1000, type=int),
            )
        )

    def _get(self, request: Request, key: str) -> Response:
        stored = self._platform.get(key)
        if stored is None:
            return Response(status=404)
        return Response(stored.value, 200, {"ETag": f'"{stored.version}"'})

    def _put(self, request: Request, key: str) -> Response:
        version = self._platform.put(key, request.get_data(), _expected_version(request))
        return Response(status=200, headers={"ETag": f'"{version}"'})

    def _delete(self, request: Request, key: str) -> Response:
        self._platform.delete(key, _expected_version(request))
        return Response(status=200)

    def _watch(self, request: Request) -> Response:
        parameters = request.args
        return _json_response(
            self._platform.watch(
                parameters.get("prefix", ""),
                parameters.get("since", 0, type=int),
                parameters.get("timeout_ms", 0, type=int),
            )
        )

    def _instances(self, request: Request) -> Response:
        return _json_response(self._platform.list_instances())

    def _weights(self, request: Request) -> Response:
        return _json_response(self._platform.request_weights(decode(request.get_data())["model"]))

    def _set_instance(self, request: Request) -> Response:
        self._platform.set_instance(decode(request.get_data(), type=Instance))
        return Response(status=200)

    def _remove_instance(self, request: Request, instance_id: str) -> Response:
        self._platform.remove_instance(instance_id)
        return Response(status=200)

    def _faults(self, request: Request) -> Response:
        self._platform.set_faults(convert(decode(request.get_data()), PlatformFaults))
        return Response(status=200)

    def _held(self, request: Request) -> Response:
        return _json_response(self._platform.apply_held_writes())

    def _calls(self, request: Request) -> Response:
        return _json_response(dict(self._platform.calls))


def _expected_version(request: Request) -> int:
    if request.headers.get("If-None-Match") == "*":
        return ABSENT_VERSION
    return int(request.headers["If-Match"].strip('"'))


def _json_response(value: object) -> Response:
    return Response(encode(value), 200, mimetype="application/json")


def main() -> None:
    """Serve until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--seed", type=int, default=0)
    arguments = parser.parse_args()
    app = PlatformApp(MemoryPlatform(SystemClock(), arguments.seed))
    create_server(app, host="127.0.0.1", port=arguments.port, threads=SERVER_THREADS).run()


if __name__ == "__main__":
    main()
