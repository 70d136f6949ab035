"""The messages about what client accounts use, between entries and the runner that adds it up."""

from msgspec import Struct

TENTHS = 10  # values are sent as whole tenths, which take fewer bytes than fractions


class AccountUse(Struct, frozen=True, array_like=True):
    """What one entry knows of the requests of an account.

    :param account: name of the account.
    :param admitted: requests that the entry has admitted since it started, without those that were
        given back.
    :param unheard: those of them that no totals contain yet.
    :param wanted_tenths: tenths of the requests a second that came to the entry, admitted or not.
    :param running: the entry's requests at targets now.
    :param level_tenths: tenths of the tokens that the fleet has left; ``None`` if the entry does
        not know. A runner that has just started begins with it.
    """

    account: str
    admitted: int
    unheard: int
    wanted_tenths: int
    running: int
    level_tenths: int | None


class AccountUsage(Struct, frozen=True, tag="account_usage", array_like=True):
    """The accounts whose use by one entry has changed since the last report that was heard.

    :param sender: instance id of the entry.
    :param incarnation: the run of the entry.
    :param sequence: increases with each report of a run.
    :param uses: the use of each of these accounts.
    """

    sender: str
    incarnation: str
    sequence: int
    uses: tuple[AccountUse, ...]


class AccountSum(Struct, frozen=True, array_like=True):
    """What all other entries use of an account. Rates are averages.

    :param account: name of the account.
    :param level_tenths: tenths of the tokens that are left; negative if more was used than the
        bucket held.
    :param admitted_tenths: tenths of the requests a second that the other entries admit.
    :param wanted_tenths: tenths of the requests a second that come to the other entries.
    :param running: requests of the other entries at targets.
    """

    account: str
    level_tenths: int
    admitted_tenths: int
    wanted_tenths: int
    running: int

    @property
    def level(self) -> float:
        """Tokens that are left."""
        return self.level_tenths / TENTHS

    @property
    def admitted_per_s(self) -> float:
        """Requests a second that the other entries admit."""
        return self.admitted_tenths / TENTHS

    @property
    def wanted_per_s(self) -> float:
        """Requests a second that come to the other entries."""
        return self.wanted_tenths / TENTHS


class AccountTotals(Struct, frozen=True, tag="account_totals", array_like=True):
    """What a runner tells one entry of the accounts.

    An account that is not listed has nearly all of its burst left.

    :param sender: the run of the runner.
    :param number: increases with each message of the sender.
    :param incarnation: the run of the entry that is addressed.
    :param sequence: the entry's last report that the sums contain.
    :param entry_count: number of entries among which limits are divided.
    :param sums: the accounts that are listed.
    """

    sender: str
    number: int
    incarnation: str
    sequence: int
    entry_count: int
    sums: tuple[AccountSum, ...]
