"""Options of a run that are drawn from its seed: accounts, slow readers, unequal targets."""

from random import Random

from msgspec import Struct

# Runs of lower seeds stay as they were before there were options.
FIRST_SEED_WITH_OPTIONS = 20_000
OPTION_RATIO = 0.6  # of the seeds that have an option
SPEED_FACTORS = (0.6, 1.0, 1.6)  # of the pauses between events
COLD_MS = 2_000.0  # after a crash, for which a target is slow
COLD_FACTOR = 3.0  # of the pauses between events during that time


class SoakVariant(Struct, frozen=True):
    """Options of one run.

    :param has_accounts: whether callers need keys of client accounts.
    :param has_slow_readers: whether some callers read their streams slowly.
    :param speed_factors: factor of the pauses between events, for each target; empty if all targets
        are equally fast.
    """

    has_accounts: bool = False
    has_slow_readers: bool = False
    speed_factors: tuple[float, ...] = ()


def draw_variant(seed: int, targets: int) -> SoakVariant:
    """Return the options of a seed, from a random generator of their own.

    :param targets: number of targets.
    """
    if seed < FIRST_SEED_WITH_OPTIONS:
        return SoakVariant()
    random = Random(f"{seed}/options")
    has_accounts, has_slow_readers, has_unequal_targets = (
        random.random() < OPTION_RATIO for _ in range(3)
    )
    factors = tuple(random.choice(SPEED_FACTORS) for _ in range(targets))
    return SoakVariant(has_accounts, has_slow_readers, factors if has_unequal_targets else ())
