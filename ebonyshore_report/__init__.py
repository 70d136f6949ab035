"""Reports and plots of days that the users' bench has played with this system."""
