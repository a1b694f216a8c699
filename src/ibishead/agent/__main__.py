"""Entry point for ``python -m ibishead.agent``."""

from ibishead.agent.main import main

main()
