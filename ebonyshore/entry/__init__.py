"""The entry process: caller API, admission, routing, retries and model placement."""
