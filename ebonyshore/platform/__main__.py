"""Runs a process of one role on the platform: ``python3 -m ebonyshore.platform entry|runner``."""

import sys

from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore.platform.deployment import PlatformDeployment


def main(arguments: list[str]) -> int:
    """Run a process until it is stopped.

    :param arguments: the role, ``entry`` or ``runner``.
    :return: the exit status: a result code, or 2 if the role is missing or unknown.
    """
    role = arguments[0] if arguments else ""
    try:
        if role == "entry":
            from ebonyshore.gateway.entry_process import run_entry

            return int(run_entry(PlatformDeployment()))
        if role == "runner":
            from ebonyshore.runner.runner_process import run_runner

            return int(run_runner(PlatformDeployment()))
    except EbonyshoreError as error:
        print(error, file=sys.stderr)
        return int(error.code)
    print(f"unknown role {role!r}; expected entry or runner", file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
