"""Entry point of ``python -m ebonyshore``; runs the same as the console script."""

from ebonyshore.main import main

main()
