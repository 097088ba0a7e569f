"""Steps of the wall clock while the router runs: ages of workers and all durations follow the monotonic clock."""

from platform_rig import SETTINGS, Quiet
from test_platform_list import list_entry

from ramppulley.daemon.platform.log import Log
from ramppulley.fleet.platform.endpoint_list import EndpointList
from ramppulley.profile import Profile
from ramppulley.wire import platform

S, HOUR_MS = 10_000, 3_600_000
START_MS = 1_700_000_000_000  # the wall clock's time at the first update


def endpoint_list():
    endpoints = EndpointList(Profile(SETTINGS), Log("n", Quiet()))
    endpoints.update(platform.EndpointUpdate(1, True, [list_entry("old")]), 100 * S, START_MS)
    return endpoints


def age_s(endpoints, born_ms, wall_ms):
    """The router's age of a worker that is listed 5 s after the first update."""
    now = 105 * S
    update = platform.EndpointUpdate(2, False, [list_entry("new", born_ms=born_ms)])
    ((endpoint, _),) = endpoints.update(update, now, wall_ms)
    return (now - endpoint.born) / S


def test_a_worker_that_starts_after_a_step_of_the_wall_clock_is_never_taken_to_be_older_than_it_is():
    true_ms = START_MS + 5_000
    for step_ms in (HOUR_MS, -HOUR_MS, 7_000, -7_000):
        for stepped_elsewhere_ms in (0, step_ms):  # only this machine's clock, or the clocks of all machines
            age = age_s(endpoint_list(), true_ms - 1_000 + stepped_elsewhere_ms, true_ms + step_ms)
            assert 0 <= age <= 1.0, (step_ms, stepped_elsewhere_ms, age)


def test_without_a_step_a_worker_has_its_true_age():
    assert age_s(endpoint_list(), START_MS + 2_000, START_MS + 5_000) == 3.0
