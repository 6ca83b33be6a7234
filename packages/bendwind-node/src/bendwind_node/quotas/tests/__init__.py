"""Test quotas at nodes and voters."""
