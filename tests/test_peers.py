"""Tests of authenticated datagrams, the incarnation snapshot, and the startup and shutdown of a clustered router."""

import asyncio
import json
from random import Random

import pytest
from rig import LOG, story

from ramppulley.cluster import showing, snapshot
from ramppulley.cluster.seal import MAX_DATAGRAM_SIZE, InvalidDatagram, Seal
from ramppulley.cluster.token_bucket import TokenBucket
from ramppulley.daemon import asking, json5
from ramppulley.daemon.cluster import Cluster
from ramppulley.daemon.daemon import Daemon
from ramppulley.daemon.orders import RouterSettings
from ramppulley.standin.demo import demo_settings
from ramppulley.standin.disk import LyingDisk

KEY = b"k" * 32


def make_seal(name="a", cluster="c", key=KEY, seed=1, incarnation=5):
    return Seal(cluster, key, name, Random(f"{name} {seed}"), lambda: incarnation)


def rejection_cause(receiver, data):
    with pytest.raises(InvalidDatagram) as raised:
        receiver.open(data)
    return str(raised.value)


def test_a_datagram_is_read_once_by_one_with_the_same_key_and_cluster():
    ours, theirs = make_seal("a"), make_seal("b")
    raw = theirs.seal("members", b"news")
    head, payload = ours.open(raw)
    assert (head.sender, head.incarnation, payload) == ("b", 5, b"news")
    assert rejection_cause(ours, raw) == "replayed"


def test_what_is_not_ours_is_counted_by_its_cause_and_changes_nothing():
    ours, raw = make_seal("a"), make_seal("b").seal("members", b"news")
    assert rejection_cause(ours, raw + b"x" * MAX_DATAGRAM_SIZE) == "too long"
    assert rejection_cause(ours, raw[:8]) == "too short"
    assert rejection_cause(ours, b"XX" + raw[2:]) == "not ours"
    assert rejection_cause(ours, raw[:2] + b"\x09" + raw[3:]) == "other version"
    assert rejection_cause(ours, raw[:-1] + bytes([raw[-1] ^ 1])) == "forged"
    assert rejection_cause(ours, make_seal("b", key=b"j" * 32).seal("members", b"news")) == "forged"
    assert rejection_cause(ours, make_seal("b", cluster="d").seal("members", b"news")) == "other cluster"
    assert rejection_cause(ours, make_seal("a").seal("members", b"news")) == "own"
    assert sum(ours.count.values()) == 8 and not ours.senders and not ours.duplicate_names


def test_a_hundred_thousand_forged_ones_leave_no_trace():
    ours, rng, raw = make_seal("a"), Random(3), make_seal("b").seal("members", b"n" * 300)
    for _ in range(100_000):
        at = rng.randrange(len(raw))
        bad = raw[:at] + bytes([raw[at] ^ 1 << rng.randrange(8)]) + raw[at + 1 : rng.choice((None, None, -at or None))]
        try:
            ours.open(bad)
        except InvalidDatagram:
            continue
        raise AssertionError(bad)
    assert sum(ours.count.values()) == 100_000 and not ours.senders
    assert ours.open(raw)[1] == b"n" * 300


def test_a_restart_is_believed_and_the_life_before_it_no_more():
    ours, before, after = make_seal("a"), make_seal("b", seed=1), make_seal("b", seed=2, incarnation=1025)
    old = before.seal("members", b"old")
    ours.open(before.seal("members", b"x"))
    ours.open(after.seal("members", b"y"))
    ours.open(old)  # sent before the restart, delivered after it
    assert rejection_cause(ours, old) == "replayed" and not ours.duplicate_names


def test_two_lives_of_one_name_heard_in_turn_are_told():
    ours, first_run, second_run = make_seal("a"), make_seal("b", seed=1), make_seal("b", seed=2)
    for sender in (first_run, second_run, first_run, second_run, first_run):
        assert not ours.duplicate_names and ours.open(sender.seal("members", b"x"))[1] == b"x"
    assert ours.duplicate_names == ["b"]


def test_one_who_hears_its_own_name_again_and_again_tells_it():
    ours, previous_run, other_run = (
        make_seal("a", incarnation=9),
        make_seal("a", seed=2, incarnation=3),
        make_seal("a", seed=3),
    )
    assert rejection_cause(ours, previous_run.seal("members", b"x")) == "own name" and not ours.duplicate_names
    assert rejection_cause(ours, other_run.seal("members", b"x")) == "own name" and ours.duplicate_names == ["a"]


def test_a_view_is_told_page_by_page_within_a_budget():
    rows = [[f"r{n}", "alive", n, "north", "", 0, "127.0.0.1", 1, 2] for n in range(200)]
    view_server, received = showing.ViewServer(lambda: rows, TokenBucket(1, 30)), []
    while len(received) < len(rows):
        view_server.receive(0, ("x", 1), showing.encode_request(len(received)))
        received += showing.decode_page(view_server.out.pop()[1]).rows
    assert received == rows
    for _ in range(40):
        view_server.receive(0, ("x", 1), showing.encode_request(0))
    assert len(view_server.out) < 30


class Clock:
    def now(self):
        return 0


def make_cluster(folder, disk=None, log=LOG, **peer_settings):
    (folder / "key").write_bytes(KEY)
    orders = demo_settings(name="r0", peers={"cluster": "c", "key_file": "key", "snapshot": "r0.snap", **peer_settings})
    return Cluster(orders, folder, Clock(), None, lambda: 0, None, log, disk)


class LogRecorder:
    def __init__(self):
        self.lines = []

    def __getattr__(self, level):
        return lambda text, **fields: self.lines.append((level, text))


def test_a_restart_never_uses_an_incarnation_again(tmp_path):
    firsts = [make_cluster(tmp_path).first for _ in range(3)]
    assert firsts == [1, 1 + snapshot.BLOCK, 1 + 2 * snapshot.BLOCK]


@pytest.mark.parametrize("fault, first", [("flipped", 1), ("lost", 1)])
def test_a_spoilt_snapshot_is_told_or_found_by_others_and_the_router_starts(tmp_path, fault, first):
    disk, log = LyingDisk(Random(1), fault), LogRecorder()
    for _ in range(2):
        cluster = make_cluster(tmp_path, disk, log)
    message = "snapshot not usable" if fault == "flipped" else "no snapshot"
    assert cluster.first == first and log.lines[-1] == ("warning", f"{message}: incarnations begin anew")


@pytest.mark.parametrize("cut", [1, 10, 30])
def test_a_torn_snapshot_is_told(tmp_path, cut):
    make_cluster(tmp_path)
    path, log = tmp_path / "r0.snap", LogRecorder()
    path.write_bytes(path.read_bytes()[:-cut])
    assert make_cluster(tmp_path, log=log).first == 1
    assert log.lines[0] == ("warning", "snapshot not usable: incarnations begin anew")


@pytest.mark.parametrize("fault", ["full", "flush_fails", "unreadable"])
def test_a_disk_that_keeps_nothing_ends_the_start_with_the_field(tmp_path, fault):
    (tmp_path / "key").write_bytes(KEY)
    with pytest.raises(json5.InvalidFileError, match="peers.(snapshot|key_file)"):
        make_cluster(tmp_path, LyingDisk(Random(1), fault))


def test_bad_settings_end_the_start_with_file_and_field_before_anything_listens(tmp_path):
    base_settings = json.loads(demo_settings(name="r0").model_dump_json(exclude_none=True))

    def settings_error(**peer_settings):
        peers = {"cluster": "c", "key_file": "key", "snapshot": "s", **peer_settings}
        with pytest.raises(json5.InvalidFileError) as raised:
            json5.parse(json.dumps(base_settings | {"peers": peers}), RouterSettings, "r0.json5")
        return str(raised.value)

    assert "seeds: 'd@127.0.0.1:7' is of cluster 'd', this is 'c'" in settings_error(seeds=["d@127.0.0.1:7"])
    assert "must look like HOST:PORT" in settings_error(seeds=["there"])
    assert "peers.subset.workers_least" in settings_error(subset={"workers_least": 1})
    make_cluster(tmp_path)
    (tmp_path / "r0.snap").write_bytes(snapshot.encode(snapshot.Snapshot("c", "other", 5)))
    with pytest.raises(json5.InvalidFileError, match="peers.snapshot: .*r0.snap: of router 'other'"):
        make_cluster(tmp_path)
    with pytest.raises(json5.InvalidFileError, match="peers.key_file: .*: 3 bytes"):
        orders = demo_settings(name="r0", peers={"cluster": "c", "key_file": "short", "snapshot": "s"})
        (tmp_path / "short").write_bytes(b"abc")
        Cluster(orders, tmp_path, Clock(), None, None, None, LOG)


@pytest.mark.parametrize("shared", [{}, {"signals": True}, {"turns": True}], ids=["nothing", "signals", "turns"])
def test_no_task_of_a_router_that_stopped_goes_on(tmp_path, shared):
    @story
    async def start_and_stop():
        (tmp_path / "key").write_bytes(KEY)
        (tmp_path / "workers.json5").write_text("{workers: []}")
        peers = {"cluster": "c", "key_file": "key", "snapshot": "r0.snap"} | shared
        before = asyncio.all_tasks()
        router = await Daemon(demo_settings(name="r0", peers=peers), LOG, tmp_path).start()
        await router.stop()
        assert asyncio.all_tasks() == before

    start_and_stop()


@story
async def test_two_routers_meet_by_a_seed_and_one_says_goodbye():
    import tempfile
    from pathlib import Path

    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "key").write_bytes(KEY)
        (folder / "workers.json5").write_text("{workers: []}")

        def orders(number, seeds):
            return demo_settings(
                name=f"r{number}",
                peers={
                    "cluster": "c",
                    "key_file": "key",
                    "snapshot": f"r{number}.snap",
                    "seeds": seeds,
                    "machine": f"m{number}",
                    "signals": True,
                    "turns": True,
                    "restart": {"part": 0.1},
                },
            )

        one = await Daemon(orders(0, []), LOG, folder).start()
        two = await Daemon(orders(1, [f"127.0.0.1:{one.cluster.datagrams.address[1]}"]), LOG, folder).start()
        try:
            for _ in range(300):
                if one.cluster.members.alive() and two.cluster.members.alive():
                    break
                await asyncio.sleep(0.02)
            assert [row[:2] + row[4:5] for row in one.cluster.rows()] == [["r0", "self", "m0"], ["r1", "alive", "m1"]]
            for on in (False, True):
                answered, routers = await asyncio.to_thread(asking.set_sharing, "c", KEY, one.cluster.rows(), on)
                assert (
                    answered == routers == {"r0", "r1"}
                    and one.cluster.sharing_disabled is two.cluster.sharing_disabled is not on
                )
        finally:
            await two.stop()
        for _ in range(200):
            if one.cluster.members.members["r1"].state == "left":
                break
            await asyncio.sleep(0.02)
        assert one.cluster.members.members["r1"].state == "left"
        await one.stop()
