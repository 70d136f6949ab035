"""Structured logs: one ``key=value`` line for each event, written through eliot."""

from threading import Lock
from typing import TextIO

from eliot import add_destinations as add_eliot_destinations
from eliot import log_message
from eliot import add_destinations as add_eliot_destinations
