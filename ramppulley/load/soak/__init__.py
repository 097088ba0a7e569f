"""The randomized fault soak: router processes as operators start them, faults around them, an oracle that reads sockets."""
