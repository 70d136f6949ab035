"""Batch jobs: their storage, processing, API, audit and clean-up."""
