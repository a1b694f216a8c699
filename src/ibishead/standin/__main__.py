"""Run a stand-in with ``python -m ibishead.standin``."""

from ibishead.standin.main import main

main()
