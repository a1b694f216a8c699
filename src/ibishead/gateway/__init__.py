"""Gateway: accepts HTTP requests, selects a target for each and relays its response."""
