"""Routes, targets and adapter versions: what gateways, stewards and the registry share."""
