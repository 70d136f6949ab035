"""What runs in an entry: the callers' API, admission, routing, retries, placement."""
