"""Applies the platform's list of instances to the views of targets."""

from collections.abc import Iterable, Iterator, Mapping

from msgspec.structs import replace

from ebonyshore.entry.agent_connection import AgentConnection
from ebonyshore.entry.membership import Membership, view_from_instance
from ebonyshore.store.platform_api import Instance

Connections = Mapping[str, AgentConnection]


class TargetListing:
    """The listed targets by id, as of the last listing.

    :param membership: receives the views of targets without a connection.
    """

    __slots__ = ("_instances", "_membership")

    def __init__(self, membership: Membership) -> None:
        self._instances: dict[str, Instance] = {}
        self._membership = membership

    def __contains__(self, target_id: object) -> bool:
        return target_id in self._instances

    def __iter__(self) -> Iterator[str]:
        return iter(self._instances)

    def replace_all(self, instances: Iterable[Instance]) -> None:
        """Replace the listing; instances that are not targets are ignored."""
        self._instances = {i.instance_id: i for i in instances if i.role == "target"}

    def rename(self, target_id: str, new_target_id: str) -> None:
        """Change the id of a target that was listed under its address only."""
        instance = self._instances.pop(target_id, None)
        if instance is not None:
            self._instances[new_target_id] = replace(instance, instance_id=new_target_id)

    def targets_to_remove(self, connections: Connections) -> list[str]:
        """Return the known targets that have moved, or are unlisted and have no request left."""
        found = []
        for target_id, view in self._membership.targets().items():
            instance = self._instances.get(target_id)
            connection = connections.get(target_id)
            is_moved = instance is not None and instance.address != view.address
            is_gone = instance is None and (connection is None or connection.is_idle)
            if is_moved or is_gone:
                found.append(target_id)
        return found

    def unlisted_connections(self, connections: Connections) -> list[AgentConnection]:
        """Return the connections to targets that are no longer listed."""
        return [c for target_id, c in connections.items() if target_id not in self._instances]

    def update_views(self, connections: Connections) -> list[AgentConnection]:
        """Update the views of listed targets without a connection, and add those of new ones.

        :return: the connections to targets that are listed as leaving and not known to be.
        """
        leaving = []
        for target_id, instance in self._instances.items():
            view = self._membership.find(target_id)
            connection = connections.get(target_id)
            is_leaving = instance.state == "leaving"
            if view is None:
                self._membership.set_view(view_from_instance(instance))
            elif connection is None:
                models = instance.models or view.models
                self._membership.set_view(replace(view, is_leaving=is_leaving, models=models))
            elif is_leaving and not view.is_leaving:
                leaving.append(connection)
        return leaving
