"""For all tests, of `tests/` and of the doctests."""

pytest_plugins = ["known_red"]
