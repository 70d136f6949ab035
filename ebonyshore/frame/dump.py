"""The state dump that the admin API of a process serves."""

from ebonyshore.frame.environment import Environment
from ebonyshore.frame.kernel import Kernel


def dump_process(environment: Environment, kernel: Kernel) -> dict[str, object]:
    """Return the identity, the metrics and the state of every service of a process."""
    return {
        "instance_id": environment.settings.instance.instance_id,
        "role": environment.role,
        "incarnation": environment.incarnation,
        "metrics": environment.metrics.dump(),
        "services": kernel.dump(),
    }
