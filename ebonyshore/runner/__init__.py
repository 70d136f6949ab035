"""Runs batch jobs from the store: accepts them, runs their items, lists their results."""
