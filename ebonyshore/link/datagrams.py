"""The messages that processes send each other as datagrams, and how large ones are divided."""

from collections.abc import Callable, Iterator

from msgspec import Struct, structs

from ebonyshore.host.target import TargetGroup
from ebonyshore.link.account_messages import AccountTotals, AccountUsage
from ebonyshore.link.load_table import LoadReport, LoadTotals, TotalsPart
from ebonyshore.link.messages import Verdict
from ebonyshore.link.pace_messages import PaceLimits, PaceReport
from ebonyshore.link.target_speeds import SpeedUpdate
from ebonyshore.link.wire_types import Finite, Port


class SuspicionUpdate(Struct, frozen=True, tag="suspicion", array_like=True):
    """What the sender knows of content that may crash targets; unlike load messages not complete.

    :param sender: instance id of the sender, for the log.
    :param verdicts: the present verdicts on some content.
    """

    sender: str
    verdicts: tuple[Verdict, ...]


class StreamStarts(Struct, frozen=True, tag="stream_starts", array_like=True):
    """Streams that have begun at an entry.

    :param sender: instance id of the entry.
    :param streams: pairs of the request's id and the group of the target.
    """

    sender: str
    streams: tuple[tuple[str, TargetGroup], ...]


class StreamQuery(Struct, frozen=True, tag="stream_query", array_like=True):
    """Asks runners at which targets a stream began.

    :param sender: instance id of the entry that asks.
    :param host: its address for the answer; the runner may not know the entry yet.
    :param port: its port for the answer.
    :param request_id: id of the request that brought the first event.
    :param service: service at which the stream would go on; its versions are asked for.
    """

    sender: str
    host: str
    port: Port
    request_id: str
    service: str = ""


class StreamAnswer(Struct, frozen=True, tag="stream_answer", array_like=True):
    """The response to a :class:`StreamQuery`.

    :param sender: instance id of the runner or entry.
    :param origin: ``None`` if the sender does not know the stream.
    :param versions: the software versions at which a stream of the service may have begun.
    :param has_history: whether ``versions`` also has those from before the start of the sender.
    :param is_list_current: whether the sender can read the list of targets.
    """

    sender: str
    request_id: str
    origin: TargetGroup | None
    versions: tuple[str, ...] = ()
    has_history: bool = False
    is_list_current: bool = False


class RecentVersions(Struct, frozen=True, tag="recent_versions", array_like=True):
    """Tells entries the groups of the services that have, or had recently, several versions.

    :param sender: instance id of the runner.
    """

    sender: str
    groups: tuple[TargetGroup, ...]


class ConfigConfirmed(Struct, frozen=True, tag="config_confirmed", array_like=True):
    """Tells one entry which version of the configuration a runner has read as the newest.

    :param sender: instance id of the runner.
    :param version: the version that it read.
    :param incarnation: the run of the entry that reported the clock.
    :param clock_ms: the latest clock that the runner had heard from the entry when it began the
        read.
    """

    sender: str
    version: int
    incarnation: str
    clock_ms: Finite


Datagram = (
    LoadReport
    | LoadTotals
    | TotalsPart
    | SuspicionUpdate
    | StreamStarts
    | StreamQuery
    | StreamAnswer
    | RecentVersions
    | SpeedUpdate
    | ConfigConfirmed
    | AccountUsage
    | AccountTotals
    | PaceReport
    | PaceLimits
)

# Messages whose entries are independent of each other, and the field that holds the entries.
_ENTRY_FIELDS: dict[type[Struct], str] = {
    SuspicionUpdate: "verdicts",
    StreamStarts: "streams",
    SpeedUpdate: "reports",
    PaceReport: "evidence",
    PaceLimits: "limits",
}


def encode_datagrams(
    message: Datagram, encode: Callable[[Datagram], bytes], limit_bytes: int
) -> Iterator[bytes]:
    """Encode a message, in several datagrams if it is larger than a limit and can be divided.

    A datagram with a single entry may still be larger.

    :param encode: encodes one message.
    """
    frame = encode(message)
    field = _ENTRY_FIELDS.get(type(message), "")
    entries = getattr(message, field) if field else ()
    if len(frame) <= limit_bytes or len(entries) < 2:
        yield frame
        return
    middle = len(entries) // 2
    for half in (entries[:middle], entries[middle:]):
        yield from encode_datagrams(structs.replace(message, **{field: half}), encode, limit_bytes)
