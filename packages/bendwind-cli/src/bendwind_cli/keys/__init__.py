"""Provide the creation of a deployment's keys and certificates."""

from bendwind_cli.keys.make import make_keys

__all__ = ["make_keys"]
