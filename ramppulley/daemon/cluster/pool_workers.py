"""Access to the workers of the pools' routing policies."""


def workers_of(core):
    """{endpoint: worker} of one pool; empty for baseline policies, which have none."""
    return getattr(core.router, "workers", {})


def listed_workers(cores):
    """[(endpoint, worker)] of all pools, without workers that are gone."""
    return [
        (endpoint, worker)
        for core in cores.values()
        for endpoint, worker in workers_of(core).items()
        if endpoint.state != "gone"
    ]
