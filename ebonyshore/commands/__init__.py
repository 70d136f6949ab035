"""The command line and its clients."""
