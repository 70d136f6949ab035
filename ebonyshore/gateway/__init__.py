"""The entry process on a deployment: routes callers' requests to targets and runners."""
