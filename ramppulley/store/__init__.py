"""A durable log on the local disk, for state that a router must keep over a restart. `frames` does no I/O."""
