"""Batch jobs: records, shards, results, audit, clean-up."""
