"""Settings endpoints of an entry's admin interface, and the report of revisions in force."""

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
    """Settings revisions that the agent of a target last reported.

    :param revision: revision in force in the agent.
    :param lowest_entry_revision: lowest revision in force in any entry connected to the agent.
    :param is_silent: whether the agent has no known incarnation, because the entry currently
        receives no reports from it.
    """

    revision: int
    lowest_entry_revision: int
    is_silent: bool

    def is_outdated(self, revision: int) -> bool:
        """Return whether the agent, or an entry connected to it, may lack ``revision``."""
        return self.is_silent or min(self.revision, self.lowest_entry_revision) < revision


class RevisionReport(Struct, frozen=True):
    """Settings revisions in force in the fleet, as one entry sees them.

    :param own_revision: revision in force in the entry that answers.
    :param is_ready: whether any revision is in force in that entry.
    :param digest: digest of the change that created ``own_revision``.
    :param targets: revisions by instance id; silent agents hold no work of this entry.
    """

    own_revision: int
    is_ready: bool
    digest: str
    targets: dict[str, TargetRevision]

    def list_outdated(self, revision: int) -> list[str]:
        """Describe each process that may not have ``revision``, or a later one, in force yet."""
        outdated = [] if self.is_ready and self.own_revision >= revision else ["this entry"]
        for target_id, target in self.targets.items():
            if not target.is_outdated(revision):
                continue
            if target.is_silent:
                outdated.append(f"{target_id} (silent)")
            elif target.revision < revision:
                outdated.append(f"{target_id} (revision {target.revision})")
            else:
                outdated.append(
                    f"an entry connected to {target_id} (revision {target.lowest_entry_revision})"
                )
        return outdated


def make_revision_report(settings: SettingsService, membership: Membership) -> RevisionReport:
    """Return the revision report of this entry."""
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
    """Add the endpoints below ``/admin/v1/settings`` to the admin interface of an entry.

    :param probe: requests a report from the agent of a target id, connecting to it if necessary.
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
        """Report revisions; with ``probe=1``, also request new reports from outdated agents.

        An entry is not connected to all agents, so the others report only if they are probed.
        """
        report = make_revision_report(settings, membership)
        if request.args.get("probe", 0, type=int):
            for target_id, target in report.targets.items():
                if target.is_outdated(report.own_revision):
                    probe(target_id)
        return to_builtins(report)

    path = "/admin/v1/settings"
    api.add_route("GET", path, lambda _: to_builtins(settings.current_head()))
    api.add_route("POST", path, change)
    api.add_route("GET", f"{path}/effective", effective)
    api.add_route("GET", f"{path}/history", history)
    api.add_route("GET", f"{path}/history-faults", lambda _: find_history_faults(store))
    api.add_route("GET", f"{path}/revisions", revisions)
