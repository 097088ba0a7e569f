"""Client protocols. Each front parses and validates requests and passes them to the core; none makes routing decisions."""
