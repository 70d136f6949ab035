"""How much fits into one object of the store."""

from msgspec import Struct

DEFAULT_VALUE_BYTES = 1_048_576
OVERHEAD_BYTES = 4_096  # of the metadata and of the marks of writes
MAX_BATCH_BYTES = 600_000


class ValueLimit(Struct, frozen=True):
    """The largest size of an object.

    :param value_bytes: size in bytes as the store counts it: of the whole object, encoded.
    """

    value_bytes: int = DEFAULT_VALUE_BYTES

    @property
    def record_bytes(self) -> int:
        """Largest size of a record in JSON, in bytes."""
        return max(OVERHEAD_BYTES, self.value_bytes - OVERHEAD_BYTES)

    @property
    def batch_bytes(self) -> int:
        """Size in JSON to which entries are collected in one record, in bytes.

        It leaves room for a store that escapes more characters than this process.
        """
        return min(MAX_BATCH_BYTES, self.record_bytes)
