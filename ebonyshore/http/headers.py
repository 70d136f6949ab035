"""Header fields in their order, looked up without regard to case."""

from collections.abc import Iterable, Iterator

HOP_BY_HOP_NAMES = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


class Headers:
    """An ordered list of header fields.

    :param fields: pairs of name and value.
    """

    __slots__ = ("_fields",)

    def __init__(self, fields: Iterable[tuple[str, str]] = ()) -> None:
        self._fields = list(fields)

    def __iter__(self) -> Iterator[tuple[str, str]]:
        return iter(self._fields)

    def get(self, name: str) -> str | None:
        """Return the first value of a field, or ``None``."""
        wanted = name.lower()
        return next((value for key, value in self._fields if key.lower() == wanted), None)

    def add(self, name: str, value: str) -> None:
        """Append a field."""
        self._fields.append((name, value))

    def with_field(self, name: str, value: str) -> "Headers":
        """Return a copy in which ``name`` has only ``value``."""
        copy = self.without((name.lower(),))
        copy.add(name, value)
        return copy

    def without(self, names: Iterable[str]) -> "Headers":
        """Return a copy without the fields of these lower-case names."""
        excluded = frozenset(names)
        return Headers(pair for pair in self._fields if pair[0].lower() not in excluded)

    def end_to_end(self) -> "Headers":
        """Return a copy without what concerns one connection only."""
        connection_options = (self.get("connection") or "").split(",")
        connection_names = frozenset(name.strip().lower() for name in connection_options)
        return self.without(HOP_BY_HOP_NAMES | connection_names)

    def encode(self) -> bytes:
        """Return the fields as they are sent, without the empty line."""
        return "".join(f"{name}: {value}\r\n" for name, value in self._fields).encode("latin-1")
