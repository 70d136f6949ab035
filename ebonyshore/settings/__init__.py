"""The settings tree: its levels, its history and the revision in force in a process."""
