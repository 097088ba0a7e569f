"""The bench adapter: the decisions on the simulator's wire."""
