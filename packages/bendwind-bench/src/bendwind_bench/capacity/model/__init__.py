"""Calculate the costs of each role at a size from the measured slopes."""
