"""Starts a program of ibishead from the directory that the build has created."""

import signal
import sys

# a reload signal that arrives before the program is ready must not terminate it
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGPIPE, signal.SIG_IGN)
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
sys.path.insert(0, "target/app")

from ibishead.platform.programs import main  # noqa: E402

main()
