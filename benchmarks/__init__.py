"""Benchmarks with bounds, and the commands that measure slopes."""
