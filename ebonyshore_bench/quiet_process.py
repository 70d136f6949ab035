"""Runs a role as ``ebonyshore.platform`` does, but without its log.

The difference between the two is the cost of logging.
"""

import sys

from ebonyshore.frame.logs import EventLog
from ebonyshore.platform.__main__ import main


def _discard_event(_log: EventLog, _name: str, **_fields: object) -> None:
    """Replace :meth:`EventLog.event`; discards the event."""


if __name__ == "__main__":
    EventLog.event = _discard_event
    sys.exit(main(sys.argv[1:]))
