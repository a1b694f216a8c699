"""Adapts ibishead to the platform: its HTTP protocol and its settings file.

These modules are stateless translations into ibishead's own types and back. Names of
the platform's protocol are decoded here and used nowhere else.
"""
