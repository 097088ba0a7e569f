"""The connector for the platform's workers: prefill, decode, leases, probes."""
