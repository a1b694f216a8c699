"""Control program: replicated service documents, claims and target incarnations."""
