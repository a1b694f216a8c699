"""Consensus on the order of log entries, free of I/O."""
