"""The console script ``ebonyshore``.

The daemon roles are parsed with :mod:`argparse`, so that daemons do not spend memory on the library
of the operator commands.
"""

import argparse
import sys
from pathlib import Path

from ebonyshore.frame.errors import EbonyshoreError

DAEMON_ROLES = ("entry", "agent")


def main() -> None:
    """Run a daemon or an operator command, and exit with its result code."""
    if len(sys.argv) > 1 and sys.argv[1] in DAEMON_ROLES:
        sys.exit(run_daemon(sys.argv[1], sys.argv[2:]))
    from ebonyshore.commands.cli import run_command

    run_command()


def run_daemon(role: str, arguments: list[str]) -> int:
    """Run an entry or an agent until SIGTERM or SIGINT.

    :param role: ``entry`` or ``agent``.
    :param arguments: command-line arguments after the role.
    :return: the exit status, which is the number of a :class:`ResultCode`.
    :raises SystemExit: with status 2 if the arguments are invalid.
    """
    parser = argparse.ArgumentParser(prog=f"ebonyshore {role}")
    parser.add_argument("--settings", type=Path, required=True, metavar="FILE")
    settings_path = parser.parse_args(arguments).settings
    try:
        daemon = _make_daemon(role, settings_path)
    except EbonyshoreError as error:
        print(error, file=sys.stderr)
        return int(error.code)
    return int(daemon.run())


def _make_daemon(role: str, settings_path: Path):
    from ebonyshore.frame.daemon import stop_on_signals
    from ebonyshore.frame.environment import make_environment

    environment = make_environment(settings_path, role)
    if role == "entry":
        from ebonyshore.entry.entry import make_entry as make_daemon
    else:
        from ebonyshore.agent.agent import make_agent as make_daemon
    daemon = make_daemon(environment)
    stop_on_signals(daemon.request_stop)
    return daemon
