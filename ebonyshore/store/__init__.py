"""Clients of the platform's object store, instance list and weight store; leases and watches."""
