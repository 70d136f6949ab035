"""Runs a role like ``ebonyshore.platform`` but without its log, to compare the two."""

import sys

from ebonyshore.frame.logs import EventLog
from ebonyshore.platform.__main__ import main


def _drop_event(_log: EventLog, _name: str, **_fields: object) -> None:
    """Stand for :meth:`EventLog.event`."""


if __name__ == "__main__":
    EventLog.event = _drop_event
    sys.exit(main(sys.argv[1:]))
