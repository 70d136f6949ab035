"""The reservations of tokens towards one limit for waiting batch work. Pure functions.

Load pattern: callers submit more jobs than the fleet can run, to several runners at once. The
ledger of a limit is one object in the store, so two runners cannot both take the last tokens. A job
is stored only after its tokens are reserved. Reservations are named by job, so that any runner can
tell which of them are still needed after the death of the runner that made them.
"""

from collections.abc import Mapping, Sequence
from hashlib import blake2b

from msgspec import Struct

from ebonyshore.frame.encoded_size import json_size
from ebonyshore.host.routes import Route
from ebonyshore.store.value_limit import ValueLimit

MAX_LEDGER_BYTES = ValueLimit().record_bytes


class Reservation(Struct, frozen=True, array_like=True):
    """The tokens of one job that count towards the limit.

    A job that was offered to two runners may have a reservation of each; it counts once. Each
    runner gives back only its own.

    :param job_id: id of the job.
    :param tokens: tokens of the job's unfinished items.
    :param owner: instance id of the runner that made the reservation or owns the job.
    """

    job_id: str
    tokens: int
    owner: str


class QuotaLedger(Struct, frozen=True):
    """All reservations towards one limit as they are stored, at most one for each job and owner."""

    reservations: tuple[Reservation, ...] = ()

    def tokens_by_job(self) -> dict[str, int]:
        """Return the reserved tokens of each job."""
        tokens: dict[str, int] = {}
        for reservation in self.reservations:
            known = tokens.get(reservation.job_id, 0)
            tokens[reservation.job_id] = max(known, reservation.tokens)
        return tokens

    @property
    def total_tokens(self) -> int:
        """Sum of the reserved tokens of all jobs."""
        return sum(self.tokens_by_job().values())

    def tokens_by_owner(self) -> dict[str, int]:
        """Return the reserved tokens of each owner."""
        totals: dict[str, int] = {}
        for reservation in self.reservations:
            totals[reservation.owner] = totals.get(reservation.owner, 0) + reservation.tokens
        return totals


class KnownReservations(Struct, frozen=True):
    """What one runner knows of reservations, as a basis for a change of the ledger.

    :param current: by job id, the only reservation that a job needs, if the runner owns the job or
        knows that it has ended. Those with 0 tokens are not needed any more.
    :param released: pairs of job id and owner of reservations whose job was not stored.
    """

    current: dict[str, Reservation] = {}
    released: frozenset[tuple[str, str]] = frozenset()

    def update(self, ledger: QuotaLedger) -> QuotaLedger:
        """Return the ledger without the reservations that are not needed any more."""
        updated: dict[tuple[str, str], Reservation] = {}
        for stored in ledger.reservations:
            kept = self.current.get(stored.job_id)
            if kept is None and (stored.job_id, stored.owner) not in self.released:
                kept = stored
            if kept is not None and kept.tokens > 0:
                updated[kept.job_id, kept.owner] = kept
        return QuotaLedger(tuple(updated.values()))


class ReservationRequest(Struct, frozen=True):
    """A request to add a reservation.

    :param reservation: the reservation to add.
    :param is_accepted: whether the job has been accepted already; its tokens then count whether or
        not they fit.
    """

    reservation: Reservation
    is_accepted: bool = False


class LedgerChange(Struct, frozen=True):
    """A changed ledger and the requests that did not fit.

    :param refused: ids of the jobs whose requests did not fit.
    :param missing_tokens: tokens that have to be released before the first of them fits; 0 if none
        was refused.
    """

    ledger: QuotaLedger
    refused: frozenset[str] = frozenset()
    missing_tokens: int = 0


def quota_name(route: Route, account: str = "") -> str:
    """Return the name under which reservations are stored and reported.

    :param route: the route whose limit they count towards.
    :param account: the client account that the limit is for; empty if it is for all callers.
    """
    identity = f"{route.host.lower()}\n{route.path_prefix}"
    if account:
        identity += f"\n{account}"
    return blake2b(identity.encode(), digest_size=8).hexdigest()


def change_ledger(
    ledger: QuotaLedger,
    known: KnownReservations,
    requests: Sequence[ReservationRequest],
    limit_tokens: int,
    unreserved_tokens: int = 0,
    limit_bytes: int = MAX_LEDGER_BYTES,
) -> LedgerChange:
    """Bring a ledger up to date and add the requested reservations that fit.

    :param ledger: the ledger as it is stored.
    :param known: what this runner knows; reservations that are not needed any more are dropped.
    :param requests: the reservations to add, in the order of their arrival.
    :param limit_tokens: limit for the sum of all reservations; 0 if there is none.
    :param unreserved_tokens: tokens of accepted jobs of other runners that have no reservation yet.
    :param limit_bytes: largest size of the ledger in JSON. Beyond it requests are refused; those of
        accepted jobs are left out until other jobs have ended.
    """
    current = known.update(ledger)
    reservations = {(kept.job_id, kept.owner): kept for kept in current.reservations}
    tokens_by_job = current.tokens_by_job()
    total_tokens = unreserved_tokens + sum(tokens_by_job.values())
    refused: set[str] = set()
    missing_tokens = 0
    size = json_size(current)
    for request in requests:
        wanted = request.reservation
        is_new = (wanted.job_id, wanted.owner) not in reservations
        added_bytes = json_size(wanted) + 1 if is_new else 0
        if is_new and size + added_bytes > limit_bytes:
            if not request.is_accepted:
                refused.add(wanted.job_id)
                missing_tokens = missing_tokens or wanted.tokens
            continue
        if wanted.job_id not in tokens_by_job:
            excess_tokens = total_tokens + wanted.tokens - limit_tokens
            if excess_tokens > 0 and limit_tokens and not request.is_accepted:
                refused.add(wanted.job_id)
                missing_tokens = min(missing_tokens or excess_tokens, excess_tokens)
                continue
            total_tokens += wanted.tokens
            tokens_by_job[wanted.job_id] = wanted.tokens
        size += added_bytes
        reservations.setdefault((wanted.job_id, wanted.owner), wanted)
    changed = QuotaLedger(tuple(reservations.values()))
    return LedgerChange(changed, frozenset(refused), missing_tokens)


def unreserved_tokens(ledger: QuotaLedger, reported_tokens: Mapping[str, int]) -> int:
    """Return the tokens that runners report as waiting beyond what they have reserved.

    A runner has such jobs after the route's limit was introduced, after a takeover, and for a job
    that it accepted without waiting for its reservation.

    :param reported_tokens: waiting tokens by runner, from the load reports.
    """
    reserved = ledger.tokens_by_owner()
    return sum(
        max(0, tokens - reserved.get(runner, 0)) for runner, tokens in reported_tokens.items()
    )
