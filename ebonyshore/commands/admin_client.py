"""Client of the admin HTTP interface."""

from msgspec.json import encode

from ebonyshore.commands.api_client import ApiClient


class AdminClient(ApiClient):
    """Calls the admin interface of one process as an operator.

    :param url: base URL of the admin interface.
    :param bearer_token: the operator token.
    """

    def get(self, path: str) -> dict:
        """Return the decoded response to a GET; errors as for :meth:`ApiClient.call_raw`."""
        return self.call("GET", path)

    def post(self, path: str, value: object) -> dict:
        """POST ``value`` as JSON and return the decoded response.

        Errors as for :meth:`ApiClient.call_raw`.
        """
        return self.call("POST", path, encode(value))
