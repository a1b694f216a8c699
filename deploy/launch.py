"""Starts a program of ibishead from the sources that the build has laid out."""

import signal
import sys

# a reload that comes before the program is ready must not end it
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGPIPE, signal.SIG_IGN)
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
sys.path.insert(0, "target/app")

from ibishead.platform.programs import main  # noqa: E402

main()
