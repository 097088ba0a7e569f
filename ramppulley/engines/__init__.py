"""Engine connectors: connections, the prefill/decode split, load reports, and the outcome of each way an attempt ends."""
