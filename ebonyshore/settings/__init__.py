"""The settings tree: levels, history, the revision in force."""
