"""Identifies the content of a request, the same in all its sends, and the parts of its prompt."""

from hashlib import blake2b
from re import compile as compile_pattern

from msgspec import Struct

from ebonyshore.link.suspicion import PART_DIGEST_PREFIX

DIGEST_BYTES = 8
PLAIN_PART_ID = compile_pattern("[0-9a-f]{1,32}")  # any other id is replaced by its digest
MAX_PARTS = 64  # of one prompt that are told apart


class RequestContent(Struct, frozen=True):
    """What of a request may crash a target.

    :param digest: digest of the whole content.
    :param parts: digests of the parts of its prompt, see :func:`part_digests`.
    """

    digest: str
    parts: tuple[str, ...] = ()

    @property
    def digests(self) -> tuple[str, ...]:
        """The digest of the whole content, then those of the parts."""
        return (self.digest, *self.parts)


def content_digest(host: str, method: str, target: str, body: bytes) -> str:
    """Return a digest of what a request asks for.

    Repeated sends of one request have the same digest, whatever their request ids and headers are.

    :param host: value of the ``Host`` header; its port and its letter case are ignored.
    :param target: path and query of the request.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    digest.update(f"{host.split(':', 1)[0].lower()}\n{method} {target}\n".encode())
    digest.update(body)
    return digest.hexdigest()


def part_digests(prompt_parts: str | None) -> tuple[str, ...]:
    """Return the digests of the parts of a prompt that other requests may have in common with it.

    The last part is left out, as it is the request's own. Of a prompt with more than
    :data:`MAX_PARTS` others the first ones are returned.

    :param prompt_parts: the parts in order, as comma-separated ``ID:TOKENS``; ``None`` if the
        request does not name them.
    """
    entries = (entry.partition(":")[0].strip() for entry in (prompt_parts or "").split(","))
    ids = [part_id.lower() for part_id in entries if part_id]
    digests = dict.fromkeys(PART_DIGEST_PREFIX + _plain(part_id) for part_id in ids[:-1])
    return tuple(digests)[:MAX_PARTS]


def _plain(part_id: str) -> str:
    """Return an id that is short and fit for logs and for names of stored objects."""
    if PLAIN_PART_ID.fullmatch(part_id):
        return part_id
    return blake2b(part_id.encode(), digest_size=DIGEST_BYTES).hexdigest()
