"""Load and experiments: days, clients, baselines, benchmarks."""
