"""Entry point of ``python -m ibishead.control``."""

from ibishead.control.main import main

main(prog_name="ibishead-control")
