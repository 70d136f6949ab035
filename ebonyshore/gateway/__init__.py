"""Forwards callers' requests to targets as they come: routes, targets, attempts, streams."""
