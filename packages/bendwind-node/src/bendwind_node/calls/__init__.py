"""Provide the tasks that serve calls at the entry node and at the owner node, with their HTTP."""
