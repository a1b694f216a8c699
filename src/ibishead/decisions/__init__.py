"""Scheduling, placement and admission policies.

The modules hold pure functions and in-memory state. They perform no I/O, read no clock
and generate no random numbers; callers pass times and random numbers in.
"""
