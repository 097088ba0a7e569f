"""The platform's clients: its requests in, its streams and final answers out."""
