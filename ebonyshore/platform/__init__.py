"""Translates between the product and the platform that the users' machines run on.

Only this package knows the platform's names. It decodes them once into the product's own types.
"""
