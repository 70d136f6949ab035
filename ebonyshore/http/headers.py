"""HTTP header fields: an ordered list with case-insensitive look-up."""

from collections.abc import Iterable, Iterator

FIELD_BYTES = 200  # memory that a field takes besides its characters, at most

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
    """An ordered list of header fields with case-insensitive names.

    :param fields: pairs of name and value; a name may occur more than once.
    """

    __slots__ = ("_fields",)

    def __init__(self, fields: Iterable[tuple[str, str]] = ()) -> None:
        self._fields = list(fields)

    def __iter__(self) -> Iterator[tuple[str, str]]:
        return iter(self._fields)

    def get(self, name: str) -> str | None:
        """Return the first value of a field, or ``None`` if there is no such field."""
        wanted = name.lower()
        return next((value for key, value in self._fields if key.lower() == wanted), None)

    def get_joined(self, name: str) -> str | None:
        """Return all values of a field as one list, or ``None`` if there is no such field."""
        wanted = name.lower()
        values = [value for key, value in self._fields if key.lower() == wanted]
        return ",".join(values) if values else None

    def add(self, name: str, value: str) -> None:
        """Append a field; existing fields of the same name stay."""
        self._fields.append((name, value))

    def with_field(self, name: str, value: str) -> "Headers":
        """Return a copy in which one field replaces all fields of that name."""
        copy = self.without((name.lower(),))
        copy.add(name, value)
        return copy

    def without(self, names: Iterable[str]) -> "Headers":
        """Return a copy without the fields of the given names.

        :param names: names in lower case.
        """
        excluded = frozenset(names)
        return Headers(pair for pair in self._fields if pair[0].lower() not in excluded)

    def end_to_end(self) -> "Headers":
        """Return a copy without hop-by-hop fields, including those listed in ``Connection``."""
        connection_options = (self.get("connection") or "").split(",")
        connection_names = frozenset(name.strip().lower() for name in connection_options)
        return self.without(HOP_BY_HOP_NAMES | connection_names)

    def encode(self) -> bytes:
        """Encode the fields for sending, without the empty line that ends the head."""
        return "".join(f"{name}: {value}\r\n" for name, value in self._fields).encode("latin-1")
