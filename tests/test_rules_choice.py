"""Tests of the decision module: which worker is chosen, by its load, cached prefixes, pace and the other routers."""

import dataclasses

from fakehost import MS, FakeHost, S, endpoint
from rules_rig import read

from ramppulley import door
from ramppulley.rules import PolicyRequest


def test_the_writer_with_the_least_memory_held_is_taken():
    host = FakeHost([endpoint(1, "read"), endpoint(2, "write"), endpoint(3, "write")])
    for share in (0.9, 0.1):
        view = host.ask(session=str(share))
        read(host, view)
        host.first(view)
        host.ends(view, door.DONE, final=True, report=door.LoadReport(memory_share=share))
    less_loaded = host.last(view)[2]
    later = host.ask(session="later")
    read(host, later)
    assert host.last(later)[2] is less_loaded


def test_a_session_comes_back_to_the_reader_that_kept_its_text():
    host = FakeHost([endpoint(n, "read") for n in range(4)] + [endpoint(9, "write")])
    view = host.ask(prompt=4000)
    prefill_worker = host.last(view)[2]
    read(host, view)
    assert host.last(host.ask(prompt=4100))[2] is prefill_worker


def test_every_router_picks_the_same_reader_for_an_unseen_shared_beginning():
    endpoints = [endpoint(n, "read") for n in range(4)] + [endpoint(9, "write")]
    hosts = [FakeHost(endpoints) for _ in range(2)]
    assert (
        len({h.last(h.ask(session=str(i), prefix="rules", prefix_tokens=900))[2].mark for i, h in enumerate(hosts)})
        == 1
    )


def test_stranded_writers_are_paired_with_a_reader_of_another_cell():
    endpoints = [endpoint(1, "read", 0), endpoint(2, "write", 1)]
    host = FakeHost(endpoints)
    assert host.last(host.ask())[2] is endpoints[0]


def test_an_old_report_of_a_long_queue_is_not_believed():
    host = FakeHost([endpoint(1, "read"), endpoint(2, "read"), endpoint(3, "write")])
    other, view = host.ask(session="c", prompt=4000), host.ask()
    busy = host.last(view)[2]
    assert host.last(other)[2] is not busy
    read(host, other, report=door.LoadReport(tokens_waiting=0))
    read(host, view, report=door.LoadReport(tokens_waiting=20_000))
    assert host.last(host.ask(session="b"))[2] is not busy
    host.wait(3 * S)
    worker = host.router.workers[busy]
    assert worker.others_waiting_tokens(0.5) == 0


def test_streams_slower_than_promised_push_a_writer_down_the_list():
    host = FakeHost([endpoint(1, "read"), endpoint(2, "write"), endpoint(3, "write")])
    view = host.ask()
    read(host, view)
    slow = host.last(view)[2]
    host.first(view)
    host.wait(15 * S)
    host.ends(view, door.DONE, final=True)
    after = host.ask(session="b")
    read(host, after)
    assert host.last(after)[2] is not slow


def test_a_mixed_server_reads_short_prompts_itself_and_leaves_long_ones():
    endpoints = [endpoint(1, "read"), endpoint(2, "both")]
    host = FakeHost(endpoints)
    assert host.last(host.ask(prompt=9000))[2].role == "read"
    assert host.last(host.ask(prompt=200, session="b"))[2].role == "both"


def test_many_routers_with_the_same_old_view_do_not_all_pick_the_same_writer():
    endpoints = [endpoint(n, "read", n % 10) for n in range(10)] + [
        endpoint(100 + n, "write", n % 10) for n in range(30)
    ]
    hosts = [FakeHost(endpoints, routers=150) for _ in range(3)]
    chosen = []
    for n in range(60):
        view = hosts[n % 3].ask(session=f"s{n}")
        read(hosts[n % 3], view)
        chosen.append(hosts[n % 3].last(view)[2])
    assert len(set(chosen)) > 15 and max(chosen.count(e) for e in chosen) < 10


def test_a_session_that_comes_to_another_router_finds_the_reader_of_its_home():
    endpoints = [endpoint(n, "read", n % 5) for n in range(10)] + [endpoint(100 + n, "write", n % 5) for n in range(30)]
    hosts = [FakeHost(endpoints, routers=150) for _ in range(2)]
    prefill_workers = [{h.last(h.ask(session=f"s{n}", prompt=2000))[2] for h in hosts} for n in range(20)]
    assert sum(len(pair) == 1 for pair in prefill_workers) >= 16


def test_a_party_that_is_turned_away_as_full_goes_elsewhere_and_others_stay():
    tenants = [door.TenantShare(100.0), door.TenantShare(100.0)]
    host = FakeHost([endpoint(1, "read"), endpoint(2, "write"), endpoint(3, "write")], accounts=tenants)
    other = door.RequestClass(12_000, 400, 60_000, 600)
    view = host.ask()
    read(host, view)
    full = host.last(view)[2]
    host.ends(view, door.NO_ROOM)
    host.first(view)
    worker = host.router.workers[full]
    same, unlike = (
        PolicyRequest(host.router, door.RequestView(case, 9, 9, 9, account=account), host.router.capabilities)
        for case, account in ((host.case, 0), (other, 1))
    )
    assert worker.rejection_likelihood(same) > 0.9 and worker.rejection_likelihood(unlike) == 0
    host.wait(21 * S)
    host.ask()
    assert worker.rejection_likelihood(same) <= 0


def test_a_writer_of_which_nothing_is_known_is_taken_for_as_fast_as_its_like():
    """A worker without samples has the average figures of its role. Otherwise those with fast samples would always be
    preferred, and it would never get a request and so never a sample."""
    host = FakeHost([endpoint(1, "read"), endpoint(2, "write"), endpoint(3, "write")])
    first_chosen = None
    for number in range(40):
        view = host.ask(session=str(number))
        read(host, view)
        first_chosen = first_chosen or host.last(view)[2]
        host.first(view)
        host.now += 100 * MS
        host.ends(view, door.DONE, final=True, report=door.LoadReport(memory_share=0.1))
        if host.last(view)[2] is not first_chosen:
            return
    raise AssertionError("the other writer got nothing")


def test_a_prefix_has_one_home_where_few_cells_have_writers():
    """Groups 0 and 1 have a decode and a prefill worker each, six others two prefill workers each. Every router sends the
    prefills of one prefix to the same worker."""
    endpoints = [endpoint(1, "write"), endpoint(2, "write", cell=1), endpoint(3, "read"), endpoint(4, "read", cell=1)]
    endpoints += [endpoint(10 * cell + n, "read", cell=cell, zone=cell % 2) for cell in range(2, 8) for n in range(2)]
    preferred, prefilled_at = {}, []
    for n in range(60):
        for prefix in ("a", "b", "c", "d", f"only {n}"):
            host = FakeHost(endpoints, routers=60, seed=n)
            prefilled_at.append(
                host.last(host.ask(prompt=4000, session=f"{n} {prefix}", prefix=prefix, prefix_tokens=3500))[2].mark
            )
            preferred.setdefault(prefix, set()).add(prefilled_at[-1])
    assert all(len(preferred[prefix]) == 1 for prefix in "abcd")
    assert len(set(prefilled_at)) == 14  # and every prefill worker is used, also those whose group has a decode worker


def lateness_after_a_stream_of(duration, pace=600):
    """The estimated lateness of a decode worker after one stream of this duration, and that of one without any."""
    host = FakeHost([endpoint(1, "read"), endpoint(2, "write"), endpoint(3, "write")])
    host.case = dataclasses.replace(host.case, pace=pace)
    view = host.ask()
    read(host, view)
    used = host.last(view)[2]
    host.first(view)
    host.now += duration
    host.ends(view, door.DONE, final=True)
    host.router.told(host.now + 100 * MS, [])  # moves the module's clock to the next figures
    unused = next(e for e in host.endpoints if e.role == "write" and e is not used)
    return [host.router.workers[e].figures().stream_lateness for e in (used, unused)]


def test_a_stream_that_came_whole_counts_as_fast_and_not_as_one_of_which_nothing_is_known():
    """Guards against a worker that was passed over for good after one stream within a tick of the clock (incident 0022)."""
    used, unused = lateness_after_a_stream_of(0)
    assert used == -0.5 < unused < 0
    assert abs(unused - lateness_after_a_stream_of(1)[1]) < 1e-3


def test_a_stream_without_a_promised_pace_is_on_time_however_short_it_was():
    assert lateness_after_a_stream_of(0, pace=0) == lateness_after_a_stream_of(30 * MS, pace=0) == [0.0, 0.0]
