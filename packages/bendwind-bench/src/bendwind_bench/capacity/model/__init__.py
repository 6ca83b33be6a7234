"""Work out each role's cost at a size from the measured slopes."""
