"""The agent program: the only client of one target."""
