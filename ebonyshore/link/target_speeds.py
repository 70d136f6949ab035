"""The message with which processes tell each other how fast targets answer. No I/O."""

from msgspec import Struct

from ebonyshore.link.load_table import Incarnation
from ebonyshore.link.wire_types import Finite


class SpeedReport(Struct, frozen=True, array_like=True):
    """What one or more processes have seen of the speed of one target.

    Times are means between two events of a stream, as at half of the target's capacity. A weight is
    a number of events that decays with time.

    :param usual_ms: mean over tens of seconds.
    :param recent_ms: mean over the last second or so.
    """

    incarnation: Incarnation
    usual_ms: Finite
    usual_weight: Finite
    recent_ms: Finite
    recent_weight: Finite


class SpeedUpdate(Struct, frozen=True, tag="speeds", array_like=True):
    """Reports of targets whose speed has changed; replaces the sender's earlier ones of the same.

    :param sender: instance id of the sender.
    :param is_batch: whether the events belong to batch items, which need not be as long as others.
    """

    sender: str
    is_batch: bool
    reports: tuple[SpeedReport, ...]
