"""Decisions under load: pure functions and state, without I/O, clock or chance."""
