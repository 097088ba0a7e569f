"""Codecs and sockets: bytes to messages and back, without any opinion on what they are for."""
