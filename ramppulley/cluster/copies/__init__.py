"""Values that several routers store as replicas. Does no I/O: the host passes in messages, completed flushes and ticks."""
