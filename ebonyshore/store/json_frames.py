"""Splits JSON documents into their parts without reading these, so that each can be read alone.

A decoder refuses a whole document for one text with a lone surrogate, or for one part that is
nested too deeply. The functions here only look for quotation marks, brackets, commas and colons.
They do not recurse, and take time linear in the size of the document.
"""

from collections.abc import Iterator
from re import DOTALL
from re import compile as compile_pattern

# A text, or a character of the structure. Possessive quantifiers: a text without an end is scanned
# once, and then matched as a lone quotation mark.
_TOKEN = compile_pattern(rb'"(?:[^"\\]++|\\.)*+"|[\[\]{},:"]', DOTALL)
_OPENING = frozenset((b"[", b"{"))
_CLOSING = frozenset((b"]", b"}"))


class FrameError(ValueError):
    """The document has no complete frame: brackets or quotation marks are missing."""


def split_array(document: bytes) -> list[bytes]:
    """Return the elements of an array, as they are encoded.

    :raises FrameError: if the document is not an array, or its end is missing.
    """
    document = document.strip()
    if not document.startswith(b"["):
        raise FrameError("not an array")
    return [document[start:end].strip() for start, _, end in _members(document)]


def split_object(document: bytes) -> dict[bytes, bytes]:
    """Return the values of an object by name, both as they are encoded.

    Names are returned without their quotation marks. Of several members with one name the last one
    counts. Members without a name are left out.

    :raises FrameError: if the document is not an object, or its end is missing.
    """
    document = document.strip()
    if not document.startswith(b"{"):
        raise FrameError("not an object")
    return {
        document[start:colon].strip().strip(b'"'): document[colon + 1 : end].strip()
        for start, colon, end in _members(document)
        if colon >= 0
    }


def _members(document: bytes) -> Iterator[tuple[int, int, int]]:
    """Yield start, position of the first colon (-1 if there is none) and end of each member.

    :raises FrameError: if the end of the outermost array or object is missing.
    """
    depth, start, colon = 0, 1, -1
    for match in _TOKEN.finditer(document):
        token = match[0]
        if token in _OPENING:
            depth += 1
        elif token in _CLOSING:
            depth -= 1
            if depth == 0:
                if document[start : match.start()].strip():
                    yield start, colon, match.start()
                return
        elif token == b'"':
            break
        elif depth == 1 and token == b",":
            yield start, colon, match.start()
            start, colon = match.end(), -1
        elif depth == 1 and token == b":" and colon < 0:
            colon = match.start()
    raise FrameError("the end is missing")
