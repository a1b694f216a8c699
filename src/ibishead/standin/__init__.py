"""Test doubles for engines, plain services, the weight store and callers."""
