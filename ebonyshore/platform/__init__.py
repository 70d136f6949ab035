"""Adapter between the system and the platform that it is deployed on.

Only this package uses the platform's names. It converts the platform's settings, objects and
bodies once, at the boundary, to the system's own types.
"""
