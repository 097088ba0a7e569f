"""Load tests: scenarios, fault injection, clients, baseline policies, benchmarks."""
