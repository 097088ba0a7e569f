"""Codecs and sockets: convert bytes to messages and back, and know nothing of what the messages are used for."""
