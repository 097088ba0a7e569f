"""The bench adapter: runs the decision module on the simulator's text protocol."""
