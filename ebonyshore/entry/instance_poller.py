"""Polls the platform's instance list."""

from ebonyshore.entry.agent_link import AgentLink
from ebonyshore.entry.link_messages import UpdateInstances
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import StoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.task import PeriodicTask
from ebonyshore.store.platform_api import InstanceList


class InstancePoller(PeriodicTask):
    """Passes the platform's instance list to the agent link at intervals.

    If the platform cannot be read, the agent link continues with the last list.

    :param interval_ms: time between two reads.
    """

    def __init__(
        self,
        instances: InstanceList,
        link: AgentLink,
        interval_ms: int,
        clock: Clock,
        log: EventLog,
    ) -> None:
        super().__init__("instance-poller", clock)
        self._instances = instances
        self._link = link
        self._interval_ms = interval_ms
        self._log = log

    def interval_ms(self) -> float:
        return self._interval_ms

    def run_once(self) -> None:
        try:
            instances = self._instances.list_instances()
        except StoreError as error:
            self._log.event("instance_list_unavailable", detail=error.detail)
            return
        self._link.post(UpdateInstances(tuple(instances)))
