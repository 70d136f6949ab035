"""Identifies the content of a request, which is the same in all its sends."""

from hashlib import blake2b

DIGEST_BYTES = 8


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
