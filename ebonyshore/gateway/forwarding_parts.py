"""The parts of an entry that the forwarding of its requests uses."""

from collections.abc import Callable
from random import Random

from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.gateway.account_shares import Placement
from ebonyshore.gateway.authentication import Authenticator
from ebonyshore.gateway.load_view import LoadView
from ebonyshore.gateway.stream_origins import StreamOrigins
from ebonyshore.gateway.target_limits import TargetLimits
from ebonyshore.host.accounts import Account
from ebonyshore.host.crash_guard import CrashGuard
from ebonyshore.host.target_check import TargetChecker
from ebonyshore.host.targets import TargetTable
from ebonyshore.host.wire_names import WireNames
from ebonyshore.http.connection_pool import ConnectionPool


class ForwardingParts:
    """What all forwarded requests of an entry have in common.

    :param names: header names of the deployment.
    :param targets: the known targets.
    :param view: the load of the targets.
    :param pool: connections to the targets.
    :param checker: asks targets for their load reports.
    :param crash_guard: knows the content that crashes targets.
    :param origins: knows at which software version streams began.
    :param random: randomizes the choice of targets and the retry delays of refused callers.
    :param authenticator: asked before each attempt whether the request is still admitted.
    :ivar on_run_start: called with the account of each request that is sent to a target.
    :ivar on_run_end: called with the account when the request has ended there.
    :ivar on_not_run: called with the account that a request was admitted for if it ended without
        having run.
    :ivar check_share: called before a request that has not run is sent to a target; raises
        :exc:`ShareExceededError` if its account uses more than its share of too few slots.
    """

    def __init__(
        self,
        names: WireNames,
        targets: TargetTable,
        view: LoadView,
        pool: ConnectionPool,
        checker: TargetChecker,
        crash_guard: CrashGuard,
        origins: StreamOrigins,
        log: EventLog,
        metrics: Metrics,
        random: Random,
        authenticator: Authenticator,
    ) -> None:
        self.names = names
        self.targets = targets
        self.view = view
        self.pool = pool
        self.checker = checker
        self.crash_guard = crash_guard
        self.origins = origins
        self.log = log
        self.metrics = metrics
        self.random = random
        self.authenticator = authenticator
        self.limits = TargetLimits(targets, view, metrics, random)
        self.on_run_start: Callable[[Account], None] = lambda _account: None
        self.on_run_end: Callable[[Account], None] = lambda _account: None
        self.on_not_run: Callable[[Account], None] = lambda _account: None
        self.check_share: Callable[[Account, Placement], None] = lambda _account, _placement: None
        view.on_outlier = lambda target: targets.pace.record_doubt(target, now_ms(), now_ms())
