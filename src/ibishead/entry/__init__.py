"""The entry program: takes callers' requests and relays whole answers."""
