"""Helper that the tests of the decision module share."""

from fakehost import MS

from ramppulley import door


def read(host, view, **more):
    """Ends the request's prefill successfully, 50 ms from now."""
    host.now += 50 * MS
    host.ends(view, door.READ, **more)
