"""Engines out: connections, the read/write split, load reports, and what each way to end a send proves."""
