"""A paused clock for tests of one thread: a sleep moves it on at once."""

from ebonyshore.frame.clock import ManualClock


class SteppingClock(ManualClock):
    """Code that pauses between tries runs without waiting."""

    def sleep_ms(self, duration_ms: float) -> None:
        self.advance_ms(duration_ms)
