"""Translates between the platform's wire and settings and ibishead's own types.

Nothing here decides or remembers; names of the wire are decoded once and go no further.
"""
