"""Run the program with ``python -m ibishead.agent``."""

from ibishead.agent.main import main

main()
