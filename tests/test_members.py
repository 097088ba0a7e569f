"""Tests of the membership protocol on a simulated network: state changes, their timing, and the traffic they cost."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ramppulley.cluster import words
from ramppulley.cluster.config import MS, ProtocolConfig, S
from ramppulley.cluster.local_member import Identity
from ramppulley.cluster.member_table import PRECEDENCE, Member
from ramppulley.cluster.members import Members
from ramppulley.cluster.words import InvalidPacket, MemberUpdate, Packet
from ramppulley.load.nets import PLAIN, Net, table


def converged_net(size=8, **options):
    net = Net(size, **options)
    while not net.agree():
        net.run(net.now + S)
        assert net.now < 120 * S
    net.events.clear()
    return net


def test_all_meet_by_one_seed_although_a_tenth_of_all_is_lost():
    assert converged_net(20, loss=0.1).now < 60 * S


def test_the_end_of_one_is_known_to_all_in_bounded_time():
    net = converged_net()
    net.end("i3")
    net.run(net.now + 40 * S)
    assert {name for _, name, *_ in net.seen("dead", "i3")} == set(net.members)
    assert net.agree() and not [e for e in net.seen("dead") if e[3] != "i3"]


def test_a_goodbye_needs_no_suspicion():
    net = converged_net()
    net.members["i2"].leave(net.now)
    net._collect_output("i2", net.members["i2"])
    net.run(net.now + 5 * S)
    assert {name for _, name, *_ in net.seen("left", "i2")} == set(net.members) - {"i2"}
    assert not net.seen("suspect", "i2") and not net.members["i2"].out


def test_a_short_pause_is_denied_and_nobody_is_held_for_dead():
    net = converged_net()
    net.pause("i4", 6 * S)
    net.run(net.now + 60 * S)
    assert net.seen("suspect", "i4") and not net.seen("dead")
    assert net.members["i4"].incarnation > 1 and net.agree()


def test_one_that_was_held_for_dead_comes_back_by_a_higher_incarnation():
    net = converged_net()
    net.pause("i4", 60 * S)
    net.run(net.now + 50 * S)
    assert net.seen("dead", "i4")
    net.run(net.now + 120 * S)
    assert net.agree()


def test_one_that_paused_and_now_suspects_everybody_convinces_nobody():
    net = converged_net(12)
    net.pause("i4", 10 * S)
    net.run(net.now + 60 * S)
    assert not [e for e in net.seen("dead") if e[3] != "i4"]


def test_a_cut_one_way_is_bridged_by_others():
    net = converged_net()
    net.cut = lambda a, b: (a, b) == ("i1", "i2")
    net.run(net.now + 60 * S)
    assert not net.seen("dead")


def test_one_that_forgot_all_asks_first_and_uses_no_incarnation_again():
    net = converged_net()
    net.members["i4"].set_traffic(5)
    net._collect_output("i4", net.members["i4"])
    net.run(net.now + 30 * S)
    used = net.members["i4"].incarnation
    net.end("i4")
    net.run(net.now + S)
    member, incarnations = net.start("i4", silence=2 * S), set()
    for _ in range(200):
        incarnations.add(member.incarnation)
        net.run(net.now + 100 * MS)
    assert used == 2 and min(incarnations - {0}) > used and net.agree()


def test_a_seed_that_was_killed_too_and_remembers_nothing_is_no_answer():
    net = converged_net()
    net.members["i4"].set_traffic(5)
    net._collect_output("i4", net.members["i4"])
    net.run(net.now + 30 * S)
    for name in ("i0", "i4"):
        net.end(name)
    net.run(net.now + 30 * S)
    assert net.seen("dead", "i4")
    net.start("i0", seeds=[])
    member, incarnations = net.start("i4", silence=3 * S), set()
    for _ in range(10_000):
        incarnations.add(member.incarnation)
        net.run(net.now + 1 * MS)
    assert min(incarnations - {0}) > 2 and net.agree()


def test_one_whom_nobody_answers_speaks_up_by_itself():
    net = Net(1)
    member = net.start("i9", seeds=[("nobody", 1)], silence=2 * S)
    net.run(S)
    assert member.incarnation == 0
    net.run(3 * S)
    assert member.incarnation == 1


def test_an_incarnation_that_may_be_lost_at_the_next_start_is_not_used():
    net = converged_net()
    net.end("i4")
    for member in net.members.values():
        member.members["i4"].incarnation = 50
    member = net.start("i4", silence=S, incarnation_limit=20)
    net.run(net.now + 5 * S)
    assert member.incarnation == 0 and member.highest_observed == 50
    member.local.incarnation_limit = 2000
    net.run(net.now + 5 * S)
    assert member.incarnation >= 51


def test_a_partition_heals_although_each_half_holds_the_other_for_dead():
    net = converged_net(10)
    half = {f"i{n}" for n in range(5)}
    net.cut = lambda a, b: (a in half) != (b in half)
    net.run(net.now + 90 * S)
    assert all(set(m.alive()) <= (half if n in half else set(net.members) - half) for n, m in net.members.items())
    net.cut = lambda a, b: False
    net.run(net.now + 120 * S)
    assert net.agree()


def test_half_vanish_at_once_and_the_others_keep_each_other():
    net = converged_net(20)
    for number in range(10, 20):
        net.end(f"i{number}")
    net.run(net.now + 90 * S)
    assert net.agree()
    assert not [e for e in net.seen("dead") if e[3] in net.members]


def test_lifeguard_holds_fewer_living_ones_for_dead_than_swim_alone():
    false_deaths = []
    for config in (None, PLAIN):
        net = Net(30, 3, config, loss=0.3)
        net.run(60 * S)
        net.events.clear()
        net.run(180 * S)
        false_deaths.append(len(net.seen("dead")))
    assert false_deaths[0] * 4 < false_deaths[1]


def test_one_seed_gives_one_run_and_another_gives_another():
    def run(seed):
        net = Net(6, seed, loss=0.2, doubled=0.1)
        net.run(40 * S)
        return net.events, net.bytes

    assert run(1) == run(1) and run(1) != run(2)


def test_no_datagram_is_too_large_and_the_rate_is_bounded_in_a_join_storm():
    config = ProtocolConfig(datagrams_per_second=20, datagrams_burst=40)
    net = Net(80, 1, config)
    net.run(20 * S)
    assert 0 < net.largest <= words.MAX_PAYLOAD_SIZE
    assert max(net.sent.values()) <= 40 + 20 * 20
    assert net.members["i0"].count["over budget"] > 0  # all others contact it at once


def single_member(**config):
    member = Members(Identity("a", ("a", 1)), Random(1), ProtocolConfig(**config))
    member.out.clear()
    return member


def packet(kind, *updates, sender="b", number=1, target=""):
    return words.encode_packet(Packet(words.VERSION, kind, sender, number, target, list(updates)))


def test_what_is_unreadable_is_counted_and_changes_nothing():
    member = single_member()
    good = packet("ping", MemberUpdate("b", "b", 1, "alive", 1, "b"), target="a")
    for data in (
        b"",
        b"\xc1",
        good[:-1],
        good + b"\0",
        b"\x90" * 2000,
        good.replace(b"ping", b"pong"),
        packet("ping", MemberUpdate("b", "b", 0, "alive", 1, "b")),
        packet("ping", MemberUpdate("b", "b", 1, "alive", -1, "b")),
    ):
        member.receive(0, ("b", 1), data)
    assert member.count["unreadable"] == 8 and not member.members and not member.out
    member.receive(0, ("b", 1), good)
    assert member.alive() == ["b"] and len(member.out) == 1


@given(st.binary(max_size=1300))
@settings(max_examples=300, deadline=None)
def test_no_bytes_do_more_than_be_counted(data):
    member = single_member()
    member.receive(0, ("b", 1), data)
    member.tick(10 * S)


def test_a_suspicion_of_ourselves_is_denied_and_our_own_name_from_elsewhere_is_counted():
    member = single_member()
    member.receive(0, ("b", 1), packet("tell", MemberUpdate("a", "a", 1, "suspect", 7, "b")))
    assert member.incarnation == 8 and member.health == 1 and member.count["denied"] == 1
    member.receive(0, ("b", 1), packet("tell", sender="a"))
    assert member.count["own name"] == 1


def test_confirmations_of_different_accusers_shorten_a_suspicion_and_repetitions_do_not():
    member = single_member()
    for name in "bcdefg":
        member.receive(0, (name, 1), packet("tell", MemberUpdate(name, name, 1, "alive", 1, name), sender=name))
    ends = []
    for by in "cccdef":
        member.receive(0, (by, 1), packet("tell", MemberUpdate("b", "b", 1, "suspect", 1, by), sender=by))
        ends.append(member.members["b"].suspected_until)
    assert ends[0] == ends[1] == ends[2] > ends[3] > ends[4] > ends[5] == member.view.suspicion_timeout(4)


def test_members_remembered_are_bounded_and_ended_ones_make_room():
    member = single_member(members_max=3)
    for number in range(5):
        name = f"m{number}"
        member.receive(0, (name, 1), packet("tell", MemberUpdate(name, name, 1, "alive", 1, name), sender=name))
    assert member.alive() == ["m0", "m1", "m2"] and member.count["no room"] == 2
    member.receive(0, ("m0", 1), packet("tell", MemberUpdate("m1", "m1", 1, "left", 2, "m1"), sender="m0"))
    member.receive(0, ("m4", 1), packet("tell", MemberUpdate("m4", "m4", 1, "alive", 1, "m4"), sender="m4"))
    assert member.alive() == ["m0", "m2", "m4"]


UPDATES = st.builds(
    MemberUpdate,
    st.just("b"),
    st.just("b"),
    st.just(1),
    st.sampled_from(sorted(PRECEDENCE)),
    st.integers(1, 3),
    st.sampled_from("cde"),
)


@given(st.lists(UPDATES, min_size=1, max_size=6), st.randoms())
@settings(max_examples=300, deadline=None)
def test_news_of_one_instance_may_come_in_any_order(updates, rng):
    """The resulting state must not depend on the order of the updates, or two views would never agree."""

    def final_state(order):
        member = single_member()
        member.members["b"] = Member("b", ("b", 1), "alive", 0, 0)
        for update in order:
            member._apply_update(0, update)
        return member.members["b"].state, member.members["b"].incarnation

    shuffled = list(updates)
    rng.shuffle(shuffled)
    assert final_state(updates) == final_state(shuffled)


def test_a_helper_asks_for_another_and_says_no_in_time():
    member = single_member()
    member.receive(0, ("c", 1), packet("tell", MemberUpdate("c", "c", 1, "alive", 1, "c"), sender="c"))
    member.receive(0, ("b", 1), packet("ask", number=9, target="c"))
    assert words.decode_packet(member.out[-1][1]).kind == "ping" and member.out[-1][0] == ("c", 1)
    member.detector.next_probe_at = member.next_gossip_at = member.sync.next_at = 99 * S
    assert member.due() == 320 * MS
    member.out.clear()
    member.tick(320 * MS)
    answer = words.decode_packet(member.out[-1][1])
    assert (answer.kind, answer.number, member.out[-1][0]) == ("nack", 9, ("b", 1))


def test_a_packet_of_another_version_is_not_read():
    with pytest.raises(InvalidPacket, match="version 3"):
        words.decode_packet(words.encode_packet(Packet(3, "ping", "b", 1, "a", [])))


def test_the_table_has_a_row_for_each_size_loss_and_protocol(tmp_path):
    printed = []
    table([3], [0.0, 0.3], tmp_path / "nets.csv", printed.append)
    lines = (tmp_path / "nets.csv").read_text().splitlines()
    assert len(lines) == 5 and len(printed) == 4 and lines[0].startswith("protocol,seed,size,loss")
