"""Workers as the pools' decision modules have them."""


def workers_of(core):
    """{box: worker} of one pool; baselines have none."""
    return getattr(core.router, "workers", {})


def listed_workers(cores):
    """[(box, worker)] of all pools, without those that are gone."""
    return [
        (endpoint, worker)
        for core in cores.values()
        for endpoint, worker in workers_of(core).items()
        if endpoint.state != "gone"
    ]
