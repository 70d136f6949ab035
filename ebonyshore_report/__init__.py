"""Reports and plots of the days that the users' test bench has played with this system."""
