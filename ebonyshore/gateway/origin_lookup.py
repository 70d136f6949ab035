"""What an entry has learned of the origin of a stream, and how."""

from enum import Enum

from msgspec import Struct

from ebonyshore.host.target import TargetGroup


class OriginSource(Enum):
    """How the origin of a stream was found; the values appear in logs and names of metrics."""

    OWN_RECORD = "own_record"
    PEER_RECORD = "peer_record"
    ONLY_VERSION = "only_version"
    UNKNOWN = "unknown"


class OriginLookup(Struct, frozen=True):
    """The result of looking for the origin of a stream.

    :param origin: the targets at which the stream may go on; ``None`` if they are not known.
    :param peer: instance id of the process that knew the stream.
    :param versions: the software versions of the service that were taken to be possible.
    :param is_complete: whether no possible version can be missing in them.
    :param asked: number of processes that were asked.
    :param answered: number of processes that have answered.
    :param is_list_current: whether the list of targets could be read.
    """

    source: OriginSource
    origin: TargetGroup | None = None
    peer: str | None = None
    versions: tuple[str, ...] = ()
    is_complete: bool = False
    asked: int = 0
    answered: int = 0
    is_list_current: bool = True
