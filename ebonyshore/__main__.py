"""Runs the console script as ``python -m ebonyshore``."""

from ebonyshore.main import main

main()
