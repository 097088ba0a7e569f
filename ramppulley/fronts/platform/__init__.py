"""The front for clients of the platform: requests, event streams and final answers over HTTP."""
