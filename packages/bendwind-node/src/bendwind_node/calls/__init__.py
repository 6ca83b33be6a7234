"""Offer the tasks that carry calls: the entry node's, the owner node's and their HTTP edges."""
