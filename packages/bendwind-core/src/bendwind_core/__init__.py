"""Bendwind's decisions as pure state machines without sockets, clocks or tasks."""
