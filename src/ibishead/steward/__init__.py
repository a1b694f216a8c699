"""The steward: beside each engine, the only program that gives it orders."""
