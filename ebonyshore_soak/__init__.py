"""A randomised soak of real processes, with faults injected from outside them."""
