"""What entries and runners on a deployment share: settings, store, routes, targets, start, stop."""
