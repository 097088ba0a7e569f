"""Checkers of the rules, from what crossed the sockets."""
