"""Clients in: each front parses, validates and makes one neutral question; none of them decides."""
