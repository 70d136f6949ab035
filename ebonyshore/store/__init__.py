"""The platform's object store, instance list and weight store, and what is built on them."""
