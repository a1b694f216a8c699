"""Routes, targets and adapter versions: what all programs share."""
