"""Tests of the weighted rendezvous hashing of workers."""

from math import log
from random import Random
from types import SimpleNamespace

import pytest
from fakehost import endpoint

from ramppulley.parts import DRAWN_KEYS, RankedFields, RendezvousOrders, Roster, rendezvous_hash


@pytest.mark.parametrize("weights", [(1.0,), (1.0, 2.5, 0.5)])
def test_what_a_key_draws_side_by_side_is_what_it_draws_for_each(weights):
    rng = Random(5)
    told = tuple((rng.getrandbits(64), weights[i % len(weights)], 0, 0, 1.0) for i in range(37))
    for key in [0, 2**32 - 1] + [rng.getrandbits(32) for _ in range(50)]:
        hashes = [rendezvous_hash(key, SimpleNamespace(endpoint=SimpleNamespace(mark=mark))) for mark, *_ in told]
        orders = RendezvousOrders(RankedFields(*zip(*told)))
        assert [part / 2**32 for part in orders.hashes(key)] == hashes
        weighted = [-log(part) / weight for part, (_, weight, *_) in zip(hashes, told)]
        assert list(orders.order(key)) == sorted(range(37), key=weighted.__getitem__)


def test_keys_kept_for_a_list_are_bounded():
    orders = RendezvousOrders(RankedFields((1,), (1.0,), (0,), (0,), (1.0,)))
    for key in range(DRAWN_KEYS + 50):
        orders.in_group(key, 0)
    assert len(orders.orders) == DRAWN_KEYS and DRAWN_KEYS + 49 in orders.orders


def test_readers_that_their_own_writers_need_are_drawn_rarely_by_others():
    told = [(1, "write", 0), (2, "read", 0), (3, "write", 1), (4, "read", 1), (5, "read", 2)]
    orders = Roster.of(
        [
            SimpleNamespace(state="ready", can_decode=role == "write", endpoint=endpoint(mark, role, cell))
            for mark, role, cell in told
        ],
        1.5,
    ).prefill_orders
    firsts = [orders.outside_group(key * 7919, 0, 0, 4)[0] for key in range(400)]
    assert firsts.count(2) > 8 * firsts.count(1) > 0  # of cell 1, which has a writer, and cell 2, which has none
