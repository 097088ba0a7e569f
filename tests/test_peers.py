"""Stories of what routers say to each other: who is believed, what a restart remembers, and what bad input gets."""

import asyncio
import json
from random import Random

import pytest
from rig import LOG, story

from ramppulley.cluster import showing, snapshot
from ramppulley.cluster.seal import MOST, Seal, Unfit
from ramppulley.cluster.token_bucket import TokenBucket
from ramppulley.daemon import asking, json5
from ramppulley.daemon.cluster import Cluster
from ramppulley.daemon.daemon import Daemon
from ramppulley.daemon.orders import RouterSettings
from ramppulley.standin.demo import demo_orders
from ramppulley.standin.disk import LyingDisk

KEY = b"k" * 32


def seal(name="a", cluster="c", key=KEY, seed=1, incarnation=5):
    return Seal(cluster, key, name, Random(f"{name} {seed}"), lambda: incarnation)


def cause(ours, data):
    with pytest.raises(Unfit) as met:
        ours.open(data)
    return str(met.value)


def test_a_datagram_is_read_once_by_one_with_the_same_key_and_cluster():
    ours, theirs = seal("a"), seal("b")
    raw = theirs.seal("members", b"news")
    head, payload = ours.open(raw)
    assert (head.sender, head.incarnation, payload) == ("b", 5, b"news")
    assert cause(ours, raw) == "replayed"


def test_what_is_not_ours_is_counted_by_its_cause_and_changes_nothing():
    ours, raw = seal("a"), seal("b").seal("members", b"news")
    assert cause(ours, raw + b"x" * MOST) == "too long"
    assert cause(ours, raw[:8]) == "too short"
    assert cause(ours, b"XX" + raw[2:]) == "not ours"
    assert cause(ours, raw[:2] + b"\x09" + raw[3:]) == "other version"
    assert cause(ours, raw[:-1] + bytes([raw[-1] ^ 1])) == "forged"
    assert cause(ours, seal("b", key=b"j" * 32).seal("members", b"news")) == "forged"
    assert cause(ours, seal("b", cluster="d").seal("members", b"news")) == "other cluster"
    assert cause(ours, seal("a").seal("members", b"news")) == "own"
    assert sum(ours.count.values()) == 8 and not ours.senders and not ours.twice


def test_a_hundred_thousand_forged_ones_leave_no_trace():
    ours, chance, raw = seal("a"), Random(3), seal("b").seal("members", b"n" * 300)
    for _ in range(100_000):
        at = chance.randrange(len(raw))
        bad = (
            raw[:at]
            + bytes([raw[at] ^ 1 << chance.randrange(8)])
            + raw[at + 1 : chance.choice((None, None, -at or None))]
        )
        try:
            ours.open(bad)
        except Unfit:
            continue
        raise AssertionError(bad)
    assert sum(ours.count.values()) == 100_000 and not ours.senders
    assert ours.open(raw)[1] == b"n" * 300


def test_a_restart_is_believed_and_the_life_before_it_no_more():
    ours, before, after = seal("a"), seal("b", seed=1), seal("b", seed=2, incarnation=1025)
    old = before.seal("members", b"old")
    ours.open(before.seal("members", b"x"))
    ours.open(after.seal("members", b"y"))
    ours.open(old)  # it was under way
    assert cause(ours, old) == "replayed" and not ours.twice


def test_two_lives_of_one_name_heard_in_turn_are_told():
    ours, one, two = seal("a"), seal("b", seed=1), seal("b", seed=2)
    for who in (one, two, one, two, one):
        assert not ours.twice and ours.open(who.seal("members", b"x"))[1] == b"x"
    assert ours.twice == ["b"]


def test_one_who_hears_its_own_name_again_and_again_tells_it():
    ours, past, other = seal("a", incarnation=9), seal("a", seed=2, incarnation=3), seal("a", seed=3)
    assert cause(ours, past.seal("members", b"x")) == "own name" and not ours.twice
    assert cause(ours, other.seal("members", b"x")) == "own name" and ours.twice == ["a"]


def test_a_view_is_told_page_by_page_within_a_budget():
    rows = [[f"r{n}", "alive", n, "north", "", 0, "127.0.0.1", 1, 2] for n in range(200)]
    shown, got = showing.Showing(lambda: rows, TokenBucket(1, 30)), []
    while len(got) < len(rows):
        shown.take(0, ("x", 1), showing.ask(len(got)))
        got += showing.page(shown.out.pop()[1]).rows
    assert got == rows
    for _ in range(40):
        shown.take(0, ("x", 1), showing.ask(0))
    assert len(shown.out) < 30


class Clock:
    def now(self):
        return 0


def cluster(folder, disk=None, log=LOG, **more):
    (folder / "key").write_bytes(KEY)
    orders = demo_orders(name="r0", peers={"cluster": "c", "key_file": "key", "snapshot": "r0.snap", **more})
    return Cluster(orders, folder, Clock(), None, lambda: 0, None, log, disk)


class Told:
    def __init__(self):
        self.lines = []

    def __getattr__(self, level):
        return lambda text, **more: self.lines.append((level, text))


def test_a_restart_never_uses_an_incarnation_again(tmp_path):
    firsts = [cluster(tmp_path).first for _ in range(3)]
    assert firsts == [1, 1 + snapshot.BLOCK, 1 + 2 * snapshot.BLOCK]


@pytest.mark.parametrize("fault, first", [("flipped", 1), ("lost", 1)])
def test_a_spoilt_snapshot_is_told_or_found_by_others_and_the_router_starts(tmp_path, fault, first):
    disk, log = LyingDisk(Random(1), fault), Told()
    for _ in range(2):
        one = cluster(tmp_path, disk, log)
    said = "snapshot not usable" if fault == "flipped" else "no snapshot"
    assert one.first == first and log.lines[-1] == ("warning", f"{said}: incarnations begin anew")


@pytest.mark.parametrize("cut", [1, 10, 30])
def test_a_torn_snapshot_is_told(tmp_path, cut):
    cluster(tmp_path)
    path, log = tmp_path / "r0.snap", Told()
    path.write_bytes(path.read_bytes()[:-cut])
    assert cluster(tmp_path, log=log).first == 1
    assert log.lines[0] == ("warning", "snapshot not usable: incarnations begin anew")


@pytest.mark.parametrize("fault", ["full", "flush_fails", "unreadable"])
def test_a_disk_that_keeps_nothing_ends_the_start_with_the_field(tmp_path, fault):
    (tmp_path / "key").write_bytes(KEY)
    with pytest.raises(json5.InvalidFileError, match="peers.(snapshot|key_file)"):
        cluster(tmp_path, LyingDisk(Random(1), fault))


def test_bad_settings_end_the_start_with_file_and_field_before_anything_listens(tmp_path):
    told = json.loads(demo_orders(name="r0").model_dump_json(exclude_none=True))

    def faulty(**more):
        peers = {"cluster": "c", "key_file": "key", "snapshot": "s", **more}
        with pytest.raises(json5.InvalidFileError) as met:
            json5.parse(json.dumps(told | {"peers": peers}), RouterSettings, "r0.json5")
        return str(met.value)

    assert "seeds: 'd@127.0.0.1:7' is of cluster 'd', this is 'c'" in faulty(seeds=["d@127.0.0.1:7"])
    assert "must look like HOST:PORT" in faulty(seeds=["there"])
    assert "peers.subset.workers_least" in faulty(subset={"workers_least": 1})
    cluster(tmp_path)
    (tmp_path / "r0.snap").write_bytes(snapshot.packed(snapshot.Kept("c", "other", 5)))
    with pytest.raises(json5.InvalidFileError, match="peers.snapshot: .*r0.snap: of router 'other'"):
        cluster(tmp_path)
    with pytest.raises(json5.InvalidFileError, match="peers.key_file: .*: 3 bytes"):
        one = demo_orders(name="r0", peers={"cluster": "c", "key_file": "short", "snapshot": "s"})
        (tmp_path / "short").write_bytes(b"abc")
        Cluster(one, tmp_path, Clock(), None, None, None, LOG)


@pytest.mark.parametrize("shared", [{}, {"signals": True}, {"turns": True}], ids=["nothing", "signals", "turns"])
def test_no_task_of_a_router_that_stopped_goes_on(tmp_path, shared):
    @story
    async def told():
        (tmp_path / "key").write_bytes(KEY)
        (tmp_path / "workers.json5").write_text("{workers: []}")
        peers = {"cluster": "c", "key_file": "key", "snapshot": "r0.snap"} | shared
        before = asyncio.all_tasks()
        router = await Daemon(demo_orders(name="r0", peers=peers), LOG, tmp_path).start()
        await router.stop()
        assert asyncio.all_tasks() == before

    told()


@story
async def test_two_routers_meet_by_a_seed_and_one_says_goodbye():
    import tempfile
    from pathlib import Path

    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "key").write_bytes(KEY)
        (folder / "workers.json5").write_text("{workers: []}")

        def orders(number, seeds):
            return demo_orders(
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
                heard, there = await asyncio.to_thread(asking.set_sharing, "c", KEY, one.cluster.rows(), on)
                assert (
                    heard == there == {"r0", "r1"}
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
