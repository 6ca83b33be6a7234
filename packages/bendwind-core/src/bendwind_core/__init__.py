"""Provide bendwind's decision logic as pure state machines without sockets, clocks or tasks."""
