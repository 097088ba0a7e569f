"""What a router keeps does not grow with the workers that were replaced during its life."""

from fakehost import FakeHost, S, box
from platform_rig import SETTINGS, Quiet
from test_platform_list import list_entry

from ramppulley import door
from ramppulley.daemon.platform.log import Log
from ramppulley.engines.connections import ConnectionBudget
from ramppulley.engines.platform.connector import PlatformConnector
from ramppulley.fleet.platform.endpoint_list import EndpointList
from ramppulley.profile import Profile
from ramppulley.wire import platform

REPLACED = 300


def test_the_list_and_the_connector_forget_workers_that_are_gone():
    profile, log = Profile(SETTINGS), Log("n", Quiet())
    endpoints, engines = EndpointList(profile, log), PlatformConnector(log, profile, ConnectionBudget(16))

    def told(seq, *entries):
        for worker, address in endpoints.update(
            platform.EndpointUpdate(seq, False, list(entries)), seq * S, seq * 1000
        ):
            engines.set_address(worker, address)
            if worker.state == "gone":
                engines.close_worker(worker)

    for seq in range(1, REPLACED):
        told(seq, list_entry(f"w{seq}", born_ms=seq * 1000), {"host": f"w{seq - 1}", "health": "Gone"})
    kept = (endpoints.workers.boxes, endpoints.workers.ids, endpoints.addresses, endpoints.starts, endpoints.placements)
    assert [len(part) for part in (*kept, engines.workers)] == [1] * 6


def test_a_worker_that_is_gone_while_a_request_is_out_there_is_remembered_until_its_outcome():
    host = FakeHost([box(1, "read"), box(2, "write")])
    slip = host.ask()
    reader = host.last(slip)[2]
    reader.state = "gone"
    host.router.listed(host.now, [reader])
    host.wait(3 * S)
    host.ends(slip, door.READ)
    assert host.told("send", slip)[-1][2].mark == 2
