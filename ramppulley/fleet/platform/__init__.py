"""The platform's list of workers: its watch and its changes."""
