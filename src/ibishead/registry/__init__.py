"""The registry: hears targets, keeps routes and versions on a replicated log."""
