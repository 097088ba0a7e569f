"""Randomized fault soak test: real router processes, injected faults, and an oracle that judges the observed traffic."""
