"""Benchmark of the decision modules under load, on a virtual clock without sockets."""
