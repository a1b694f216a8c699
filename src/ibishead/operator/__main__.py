"""Entry point of ``python -m ibishead.operator``."""

from ibishead.operator.main import main

main(prog_name="ibishead")
