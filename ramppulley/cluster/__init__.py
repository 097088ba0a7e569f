"""Cluster of routers, optional and off by default. The modules are state machines that use neither sockets nor the clock."""
