"""Shared parts of entries and runners: settings, store, routes, targets, start and stop."""
