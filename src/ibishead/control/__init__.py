"""The control program: replicated documents, claims and incarnations."""
