"""The registry: hears targets, keeps routes and adapter versions on a replicated log."""
