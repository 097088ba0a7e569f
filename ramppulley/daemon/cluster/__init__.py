"""Connects the state machines of `ramppulley.cluster` to a router: sockets, snapshot, subset, signals, leases, status."""

from ramppulley.daemon.cluster.cluster import Cluster

__all__ = ["Cluster"]
