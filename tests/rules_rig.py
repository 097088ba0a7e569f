"""Helper that the stories of the decisions share."""

from fakehost import MS

from ramppulley import door


def read(host, view, **more):
    """The request's prefill ends well, 50 ms from now."""
    host.now += 50 * MS
    host.ends(view, door.READ, **more)
