"""Tests of new settings in the decision module, and of values that neither client nor settings give."""

import pytest
from fakehost import LAW, FakeHost, S, fleet

from ramppulley import door
from ramppulley.rules import PolicyRequest


def serve(host, view, stream):
    """Runs a request from its prefill attempt to the end of its stream, which lasts `stream`."""
    host.ends(view, door.READ)
    host.first(view)
    host.wait(stream)
    host.ends(view, door.DONE, True)


@pytest.mark.parametrize("silent", ["the client names no length", "the settings name no pace"])
def test_a_stream_whose_length_nobody_told_does_not_make_its_worker_seem_slow(silent):
    host = FakeHost(fleet())
    if silent == "the settings name no pace":
        host.case = door.RequestClass(12_000, 400, 60_000, 0)
        view = host.ask()
    else:
        view = door.RequestView(host.case, 1000, 0, 60_000, "a")
        host.router.arrived(host.now, view)
    serve(host, view, 2 * S)
    slowness = [worker.figures().stream_lateness for worker in host.router.workers.values() if worker.can_decode]
    assert slowness == [0.0] * 4
    assert host.told("send", host.ask(session="b"))  # so the next request is sent without delay


def configure(host, **new):
    """Configures the host's module; settings that are not given are those that `FakeHost` starts with."""
    defaults = {
        "routers": 2,
        "zone": 0,
        "use_cases": [host.case],
        "accounts": [],
        "permits": door.Capabilities(),
        "lawbook": door.PolicySettings(**LAW),
    }
    host.router.configured(host.now, **defaults | new)


def read(host, view):
    host.ends(view, door.READ)


def admitted(host, **more):
    """A request of the host's class without any attempt yet."""
    return PolicyRequest(host.router, door.RequestView(host.case, 1000, 300, 60_000, **more), host.router.capabilities)


def limit(host, request):
    """The admission limit of this request: the maximum expected time, at a prefill worker without samples."""
    return host.router.admission.admission_limit(request, host.router.roster.prefill_workers[-1])


def test_a_request_in_flight_keeps_its_share_and_a_new_tenant_of_the_same_number_begins_with_its_own():
    host = FakeHost(fleet(), accounts=[door.TenantShare(0.1)])
    for n in range(12):
        host.ask(session=f"s{n}")
    old = admitted(host, benefit_share=0.1)
    limit_before = limit(host, old)
    configure(host, accounts=[door.TenantShare(0.1)])
    host.ask()
    new = admitted(host, benefit_share=0.1)
    assert limit(host, old) == limit_before < limit(host, new)
    assert len(old.tenant.arrivals) == 12 and len(new.tenant.arrivals) == 1


def test_a_request_in_flight_keeps_its_value_and_a_new_one_is_weighed_by_the_new_settings():
    host = FakeHost(fleet())
    old = admitted(host)
    limit_at_admission = limit(host, old)
    configure(host, use_cases=[host.case, door.RequestClass(12_000, 400, 60_000, 600, benefit=10.0)])
    assert limit(host, old) == limit_at_admission > limit(host, admitted(host))


def test_a_request_in_flight_keeps_its_number_of_attempts_and_a_new_one_has_the_new_number():
    host = FakeHost(fleet())
    old = host.ask()
    configure(host, permits=door.Capabilities(sends=1))
    new = host.ask(session="b")
    for view in (old, new):
        host.ends(view, door.NO_ROOM)
        host.wait(S)
    assert len(host.told("send", old)) > 1 and not host.told("turn_back", old)
    assert len(host.told("send", new)) == 1 and host.told("turn_back", new)


def test_an_unsafe_request_in_flight_stays_unsafe_whatever_the_new_settings_say():
    host = FakeHost(fleet(), effect="effectful")
    old = host.ask()
    read(host, old)
    assert host.last(old)[2].role == "write"
    host.case = door.RequestClass(12_000, 400, 60_000, 600)
    configure(host)
    host.ends(old, door.CUT)
    host.wait(9 * S)
    assert len(host.told("send", old)) == 2 and host.told("scrap", old) and not host.told("turn_back", old)


def test_a_refusal_of_a_tenant_says_nothing_of_another_customers_tenant_of_the_same_number():
    host = FakeHost(fleet(), accounts=[door.TenantShare(9.0)])
    old = host.ask()
    worker = host.router.workers[host.last(old)[2]]
    configure(host, use_cases=[other := door.RequestClass(12_000, 400, 60_000, 600)], accounts=[door.TenantShare(9.0)])
    host.ends(old, door.NO_ROOM)  # arrives after the new settings, for a request of the old ones
    new = host.router.requests[host.ask(case=other)]
    assert worker.rejection_likelihood(host.router.requests[old]) > 0.9 and worker.rejection_likelihood(new) == 0


def test_a_worker_keeps_what_was_learnt_of_it_within_its_new_memory():
    host = FakeHost(fleet())
    view = host.ask(prompt=3000)
    worker = host.router.workers[host.last(view)[2]]
    read(host, view)
    assert worker.prefix_cache.tokens == {"a": 3000} and len(worker.prefill_paces) == 1
    worker.endpoint.memory = 5000
    configure(host)
    host.router.listed(host.now, [worker.endpoint])
    assert worker.prefix_cache.tokens == {"a": 3000} and len(worker.prefill_paces) == 1
    worker.prefix_cache.add("b", 4000)
    assert worker.prefix_cache.tokens == {"b": 4000}


def test_probes_end_and_begin_with_the_settings():
    host = FakeHost(fleet(), probes=True)
    host.ask()
    probes = len(host.told("probe"))
    assert probes
    configure(host, permits=door.Capabilities(probes=False))
    host.ask(session="b")
    host.wait(2 * S)
    assert len(host.told("probe")) == probes
    configure(host, permits=door.Capabilities(probes=True))
    host.router.probed(host.now, host.told("probe")[0][1], door.DONE, None)
    host.ask(session="c")
    assert len(host.told("probe")) > probes


def test_a_worker_that_was_doubted_through_a_drain_is_tried_again_when_it_is_ready():
    endpoints = [door.Endpoint(1, "read", 0, 0, 100_000), door.Endpoint(2, "write", 0, 0, 100_000)]
    host = FakeHost(endpoints, probes=True)
    worker = host.router.workers[endpoints[0]]
    view = host.ask()
    for endpoint in endpoints:
        host.router.probed(host.now, endpoint, door.DONE, None)
    host.wait(S // 10)
    host.ends(view, door.NO_ROUTE)
    assert worker.suspect
    endpoints[0].state = "draining"
    host.router.listed(host.now, endpoints)
    host.wait(5 * S)
    probes = len(host.told("probe"))
    endpoints[0].state = "ready"
    host.router.listed(host.now, endpoints)
    host.wait(S)
    assert len(host.told("probe")) > probes
    host.router.probed(host.now, endpoints[0], door.DONE, None)
    view = host.ask(session="b")
    host.wait(S // 10)
    assert host.last(view)[2] is endpoints[0]
