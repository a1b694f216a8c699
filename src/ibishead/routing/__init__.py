"""Routes, targets and adapter versions, as shared by all programs."""
