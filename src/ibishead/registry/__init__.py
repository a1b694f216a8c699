"""The registry: tracks targets, and keeps routes and versions in a replicated log."""
