"""The settings paths of an entry's admin interface, and the revision in force in each process."""

from collections.abc import Callable

from msgspec import MsgspecError, Struct, to_builtins
from msgspec.json import decode
from werkzeug.wrappers import Request

from ebonyshore.entry.membership import Membership
from ebonyshore.frame.admin_api import AdminApi
from ebonyshore.frame.errors import RequestError
from ebonyshore.settings.settings_history import find_history_faults, read_history
from ebonyshore.settings.settings_service import SettingsService
from ebonyshore.settings.settings_store import SettingsEdit, SettingsStore
from ebonyshore.settings.settings_tree import ROOT_PATH


class TargetRevision(Struct, frozen=True):
    """Revisions as an agent last reported them.

    :param revision: in force in the agent.
    :param lowest_entry_revision: the lowest one in force in an entry connected to it.
    :param is_silent: whether the entry does not hear from the agent now.
    """

    revision: int
    lowest_entry_revision: int
    is_silent: bool

    def is_behind(self, revision: int) -> bool:
        """Return whether something at the target is not known to have ``revision`` in force."""
        return self.is_silent or min(self.revision, self.lowest_entry_revision) < revision


class RevisionReport(Struct, frozen=True):
    """Which revision is in force where.

    :param own_revision: in force in the entry that answers.
    :param targets: by instance id; silent agents hold no work of this entry.
    """

    own_revision: int
    is_ready: bool
    digest: str
    targets: dict[str, TargetRevision]

    def list_outdated(self, revision: int) -> list[str]:
        """Return who is not known to have ``revision`` or a later one in force."""
        late = [] if self.is_ready and self.own_revision >= revision else ["this entry"]
        for target_id, target in self.targets.items():
            if not target.is_behind(revision):
                continue
            if target.is_silent:
                late.append(f"{target_id} (silent)")
            elif target.revision < revision:
                late.append(f"{target_id} (revision {target.revision})")
            else:
                late.append(f"an entry at {target_id} (revision {target.lowest_entry_revision})")
        return late


def make_revision_report(settings: SettingsService, membership: Membership) -> RevisionReport:
    """Return the report of one entry."""
    targets = {
        target_id: TargetRevision(
            view.settings_revision, view.lowest_entry_revision, not view.incarnation
        )
        for target_id, view in membership.targets().items()
    }
    head = settings.current_head()
    return RevisionReport(head.revision, settings.is_ready, head.digest, targets)


def add_settings_routes(
    api: AdminApi,
    settings: SettingsService,
    store: SettingsStore,
    membership: Membership,
    probe: Callable[[str], None],
) -> None:
    """Serve the settings of the fleet below ``/admin/v1/settings``.

    :param probe: asks a target's agent for a report, connecting to it if needed.
    """

    def change(request: Request) -> object:
        try:
            edit = decode(request.get_data(), type=SettingsEdit)
        except MsgspecError as error:
            raise RequestError(str(error)) from error
        result = store.commit(edit)
        settings.adopt(result.head)
        return {"revision": result.change.revision, "change": to_builtins(result.change)}

    def effective(request: Request) -> object:
        path = request.args.get("path", ROOT_PATH)
        tree = settings.current()
        return {"revision": tree.revision, "values": to_builtins(tree.effective(path))}

    def history(request: Request) -> object:
        first = request.args.get("first_revision", 1, type=int)
        return to_builtins(read_history(store, first))

    def revisions(request: Request) -> object:
        """An entry is connected to some agents only, so ``probe`` asks the others as well."""
        report = make_revision_report(settings, membership)
        if request.args.get("probe", 0, type=int):
            for target_id, target in report.targets.items():
                if target.is_behind(report.own_revision):
                    probe(target_id)
        return to_builtins(report)

    path = "/admin/v1/settings"
    api.add_route("GET", path, lambda _: to_builtins(settings.current_head()))
    api.add_route("POST", path, change)
    api.add_route("GET", f"{path}/effective", effective)
    api.add_route("GET", f"{path}/history", history)
    api.add_route("GET", f"{path}/history-faults", lambda _: find_history_faults(store))
    api.add_route("GET", f"{path}/revisions", revisions)
