"""Benchmarks, some with pass/fail bounds, and tools that evaluate test runs."""
