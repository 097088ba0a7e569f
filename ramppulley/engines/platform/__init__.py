"""The platform's workers: read, write, leases, probes."""
