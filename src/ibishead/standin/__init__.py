"""Stand-ins for engines, plain services, the weight store and callers."""
