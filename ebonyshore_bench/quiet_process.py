"""Runs a role like ``ebonyshore.platform`` but without its log, to compare the two."""

import sys

from ebonyshore.frame.logs import EventLog
from ebonyshore.platform.__main__ import main


def _discard_event(_log: EventLog, _name: str, **_fields: object) -> None:
    """Stand for :meth:`EventLog.event`."""


if __name__ == "__main__":
    EventLog.event = _discard_event
    sys.exit(main(sys.argv[1:]))
