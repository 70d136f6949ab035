"""Client of the admin HTTP interface."""

from msgspec.json import encode

from ebonyshore.commands.api_client import ApiClient


class AdminClient(ApiClient):
    """Calls one process as an operator.

    :param url: base URL of its admin interface.
    :param bearer_token: the operator token.
    """

    def get(self, path: str) -> dict:
        """Return the JSON answer to a GET; errors as for :meth:`ApiClient.read`."""
        return self.call("GET", path)

    def post(self, path: str, value: object) -> dict:
        """Return the JSON answer to a POST; errors as for :meth:`ApiClient.read`."""
        return self.call("POST", path, encode(value))
