"""A paused clock for tests on one thread, whose sleeps advance it without waiting."""

from ebonyshore.frame.clock import ManualClock


class SteppingClock(ManualClock):
    """A manual clock whose sleeps return at once, for code that sleeps between retries."""

    def sleep_ms(self, duration_ms: float) -> None:
        self.advance_ms(duration_ms)
