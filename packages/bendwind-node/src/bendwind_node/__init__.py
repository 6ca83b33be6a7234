"""The daemon: tasks that own sockets and carry out the core's decisions."""
