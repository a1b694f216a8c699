"""The steward: one runs beside each engine, and only it sends orders to that engine."""
