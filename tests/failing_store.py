"""A store that cannot be reached until it is told so."""

from ebonyshore.frame.errors import StoreUnavailableError


class FailingStore:
    """Passes calls on to another store once it is up.

    :ivar is_down: whether all calls fail.
    :ivar calls: number of calls that have failed.
    """

    def __init__(self, store):
        self.is_down = True
        self.calls = 0
        self._store = store

    def __getattr__(self, name):
        if self.is_down:
            self.calls += 1
            raise StoreUnavailableError("down")
        return getattr(self._store, name)
