"""Checkers of the routing rules, from what crossed the sockets."""
