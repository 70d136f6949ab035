"""Randomised soak test of real processes, with faults injected from outside the processes."""
