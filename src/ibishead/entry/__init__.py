"""The entry program: accepts callers' requests and relays complete answers."""
