"""The messages that processes send each other as datagrams."""

from msgspec import Struct

from ebonyshore.host.target import TargetGroup
from ebonyshore.link.account_messages import AccountTotals, AccountUsage
from ebonyshore.link.load_table import LoadReport, LoadTotals
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
    """

    sender: str
    host: str
    port: Port
    request_id: str


class StreamAnswer(Struct, frozen=True, tag="stream_answer", array_like=True):
    """The response to a :class:`StreamQuery`.

    :param sender: instance id of the runner.
    :param origin: ``None`` if the runner does not know the stream.
    """

    sender: str
    request_id: str
    origin: TargetGroup | None


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
    | SuspicionUpdate
    | StreamStarts
    | StreamQuery
    | StreamAnswer
    | SpeedUpdate
    | ConfigConfirmed
    | AccountUsage
    | AccountTotals
    | PaceReport
    | PaceLimits
)
