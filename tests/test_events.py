"""Tests of the recorder of decision module events and of replays."""

import gc

import pytest
from fakehost import MS, FakeHost, S, fleet

from ramppulley import door
from ramppulley.check import replay
from ramppulley.rules import Router
from ramppulley.service import events


def play(make):
    """Plays prefills, decodes, a lost worker, a drain, reservations and a client that leaves; returns the actions."""
    host = FakeHost(fleet(), places=True, probes=True)
    host.asked.clear()
    recorder = host.router = make(
        host,
        seed=7,
        routers=3,
        zone=0,
        use_cases=[host.case],
        accounts=[],
        permits=door.Capabilities(places=True, probes=True),
        lawbook=host.router.policy_settings,
    )
    recorder.listed(0, host.endpoints)
    views = []
    for number in range(60):
        host.wait(40 * MS)
        views.append(
            host.ask(prompt=300 + 31 * number, session=str(number % 9), prefix=str(number % 4), prefix_tokens=200)
        )
        for view in views[-4:]:
            sends = host.told("send", view)
            if not sends or view not in recorder.requests or not recorder.requests[view].open_attempts:
                continue
            if sends[-1][2].role == "read":
                host.ends(
                    view,
                    door.CUT if number == 30 else door.READ,
                    kept=100,
                    report=door.LoadReport(memory_share=0.4),
                )
            else:
                host.first(view)
                host.ends(view, door.DONE, final=True)
        for _, asked in host.told("probe")[-1:]:
            recorder.probed(host.now, asked, door.DONE, door.LoadReport(held=3.0))
        if number == 20:
            host.endpoints[1].state = "draining"
            recorder.listed(host.now, [host.endpoints[1]])
        if number == 40:
            recorder.left(host.now, views[-1])
    host.wait(9 * S)
    return [(asked[0], *(a for a in asked[1:] if isinstance(a, int))) for asked in host.asked]


@pytest.fixture
def record(tmp_path):
    recorders = []

    def make(host, **options):
        recorders.append(events.Recorder(Router, tmp_path / "day.rec", host, **options))
        return recorders[0]

    play(make)
    recorders[0].close()
    return tmp_path / "day.rec"


def test_a_record_replays_through_the_same_text_to_the_same_actions(record):
    counts = replay.replay(record, Router)
    assert (
        counts["arrived"][0] == 60
        and counts["outcome"][0] > 60
        and set(counts) > {"listed", "reminded", "probed", "left"}
    )


def test_a_text_that_decides_otherwise_is_found_at_its_first_step(record):
    class Other(Router):
        def may_start(self, question, worker, reservation=False):
            return super().may_start(question, worker, reservation) and self.clock < S

    with pytest.raises(replay.Difference) as met:
        replay.replay(record, Other)
    assert met.value.step.now >= S and "in line" in str(met.value)
    replay.replay(record, Router)


def test_another_text_of_the_module_is_read_from_its_file(record):
    replay.replay(record, replay.text_of(Router.__init__.__code__.co_filename))


def test_a_record_cut_short_replays_up_to_there_and_rubbish_is_refused(record, tmp_path):
    cut = tmp_path / "cut.rec"
    cut.write_bytes(record.read_bytes()[:-40])
    assert replay.replay(cut, Router)["arrived"][0] > 0
    cut.write_bytes(b"hello")
    with pytest.raises(ValueError, match="no record"):
        replay.replay(cut, Router)


def test_recording_changes_no_action_and_keeps_nothing_that_the_module_forgot(tmp_path):
    recorders = []

    def make(host, **options):
        recorders.append(events.Recorder(Router, tmp_path / "day.rec", host, **options))
        return recorders[0]

    assert play(make) == play(Router)
    recorders[0].recording_host.host = None  # FakeHost keeps references to all arguments
    gc.collect()
    assert len(recorders[0].objects.views.numbers) < 10
