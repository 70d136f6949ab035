"""The agent: schedules, runs and cancels requests on one target and fences orders to it."""
