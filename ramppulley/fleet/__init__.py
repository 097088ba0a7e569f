"""The list of workers: its file, its checks, and its changes as the decision module is told them."""
