"""The list of workers: loading, validation, and the changes that are passed to the routing policy."""
