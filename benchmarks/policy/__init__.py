"""The policy bench: the decisions under load, on a virtual clock without sockets."""
