"""Instances that find each other: an option, off by default. `members` is a state machine without socket and clock."""
