"""Run the program with ``python -m ibishead.entry``."""

from ibishead.entry.main import main

main()
