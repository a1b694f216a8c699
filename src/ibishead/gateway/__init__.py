"""The gateway: takes callers' requests, chooses targets, relays whole answers."""
