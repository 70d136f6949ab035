"""The messages that processes send each other as datagrams."""

from msgspec import Struct

from ebonyshore.link.load_table import LoadReport, LoadTotals
from ebonyshore.link.messages import Verdict


class SuspicionUpdate(Struct, frozen=True, tag="suspicion", array_like=True):
    """What the sender knows of content that may crash targets; unlike load messages not complete.

    :param sender: instance id of the sender, for the log.
    :param verdicts: the present verdicts on some content.
    """

    sender: str
    verdicts: tuple[Verdict, ...]


Datagram = LoadReport | LoadTotals | SuspicionUpdate
