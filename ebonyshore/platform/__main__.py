"""Runs one role of the system on the platform: ``python3 -m ebonyshore.platform entry|runner``."""

import sys

from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore.platform.deployment import PlatformDeployment


def main(arguments: list[str]) -> int:
    """Run a role; return the exit status, a result code."""
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
    print(f"unknown role {role!r}: entry or runner", file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
