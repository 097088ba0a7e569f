"""Tests of the plugin for KNOWN-RED.txt, each with a small folder of tests."""

from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
pytest_plugins = ["pytester"]
FILES = {
    "conftest": "pytest_plugins = ['known_red']",
    "test_b": "def test_well(): pass",
    "test_a": """
        import time
        import pytest
        def test_red(): assert 1 == 2
        @pytest.mark.parametrize('n', [1, 2])
        def test_half(n): assert n == 1
        def test_green(): pass
        @pytest.fixture
        def broken(): raise OSError('set-up')
        def test_set_up(broken): assert False
        @pytest.fixture
        def ends():
            yield
            raise OSError('tear-down')
        def test_tear_down(ends): assert False
        def test_skips(): pytest.skip()
        @pytest.mark.skip
        def test_marked(): assert False
        @pytest.mark.xfail
        def test_excused(): assert False
        @pytest.mark.timeout(0.05, method='signal')
        def test_slow(): time.sleep(2)
        @pytest.mark.timeout(0.05, method='thread')
        def test_killed(): time.sleep(2)
        def words():
            '''
            >>> 1
            2
            '''
        """,
}
RED = "test_a.py::test_red | one is not two | 7\n"


@pytest.fixture
def run(pytester, monkeypatch):
    monkeypatch.setenv("PYTEST_DISABLE_PLUGIN_AUTOLOAD", "1")  # loading all plugins each time takes seconds
    monkeypatch.setenv("PYTHONPATH", str(ROOT / "tests"))

    def run(text, *args, method="runpytest_inprocess"):
        pytester.makepyfile(**FILES)
        if text is not None:
            pytester.makefile(".txt", **{"KNOWN-RED": text})
        options = "-p no:cacheprovider -p pytest_timeout --doctest-modules"
        result = getattr(pytester, method)(*options.split(), *args)
        return result.ret, result.stdout.str() + result.stderr.str()

    return run


def test_the_runs_of_this_repository_heed_its_list(pytestconfig):
    assert pytestconfig.pluginmanager.hasplugin("known_red") and pytestconfig.rootpath == ROOT


def test_a_listed_test_that_fails_does_not_fail_the_run_and_is_printed(run):
    code, output = run("# why\n\n" + RED, "-k", "red or green or well")
    assert code == 0 and "test_a.py::test_red: one is not two (issue 7): failed as expected" in output


def test_a_listed_doctest_and_one_case_of_many_are_expected_to_fail(run):
    listed = "test_a.py::test_a.words | a | 1\ntest_a.py::test_half[2] | b | 2"
    code, output = run(listed, "-k", "words or half")
    assert (code, output.count("failed as expected")) == (0, 2) and "1 passed, 10 deselected, 2 xfailed" in output


@pytest.mark.parametrize("text", [None, "", "\n# nothing\n"])
def test_where_nothing_is_listed_a_failure_fails_and_nothing_is_printed(run, text):
    code, output = run(text, "-k", "red")
    assert code == 1 and "KNOWN-RED" not in output


@pytest.mark.parametrize(
    "name,why",
    [
        ("green", "passes"),
        ("skips", "was skipped"),
        ("marked", "was skipped"),
        ("excused", "was skipped"),
        ("set_up", "failed in another way"),
        ("slow", "failed in another way"),
        ("tear_down", "failed in another way"),
    ],
)
def test_only_a_failure_of_its_own_body_is_excused(run, name, why):
    code, output = run(f"test_a.py::test_{name} | cause | 7", "-k", name)
    assert code == 1 and f"test_a.py::test_{name}: cause (issue 7): {why}" in output


def test_a_test_killed_for_its_time_is_not_excused(run):
    code, output = run("test_a.py::test_killed | cause | 7", "-k", "killed", method="runpytest_subprocess")
    assert code == 1 and "Timeout" in output and "as expected" not in output


def test_a_file_that_cannot_be_collected_is_not_excused(run, pytester):
    pytester.makepyfile(test_c="import nothing_of_this_name\ndef test_red(): assert False")
    code, output = run("test_c.py::test_red | cause | 7")
    assert code == 2 and "nothing_of_this_name" in output and "no such test" not in output


@pytest.mark.parametrize(
    "text,fault",
    [
        ("".join(RED.replace("red", name) for name in ("red", "half[2]", "slow", "skips")), ":4: a fourth entry"),
        (RED + RED, ":2: test_a.py::test_red is listed twice"),
        ("test_a.py::test_red one is not two 7", ":1: `test id | cause | issue (a number)` is needed"),
        ("test_a.py::test_red | | 7", ":1: `test id | cause | issue (a number)` is needed"),
        ("test_a.py::test_red | one | 7 | 8", ":1: `test id | cause | issue (a number)` is needed"),
        ("test_a.py::test_red | one is not two | soon", ":1: `test id | cause | issue (a number)` is needed"),
        ("test_a.py::test_none | cause | 7", ": no such test: test_a.py::test_none"),
        ("test_a.py::test_half[3] | cause | 7", ": no such test: test_a.py::test_half[3]"),
    ],
)
def test_a_bad_list_fails_the_run_by_one_line(run, text, fault):
    code, output = run(text)
    assert code == 4 and output.count("KNOWN-RED") == 1
    assert f"ERROR: KNOWN-RED.txt{fault}" in output


@pytest.mark.parametrize("words", [["test_b.py"], ["-k", "well"], ["test_b.py::test_well"], ["--ignore", "test_a.py"]])
def test_in_a_part_of_the_tests_one_that_is_elsewhere_is_not_unknown(run, words):
    code, output = run(RED + "test_a.py::test_half[2] | cause | 7\ntest_a.py::test_a.words | cause | 7", *words)
    assert (code, output.count("not run")) == (0, 3)


@pytest.mark.parametrize("name", ["test_a.py::test_none", "test_c.py::test_red", "test_a.py", "test_b.py::test_red"])
def test_in_a_part_of_the_tests_one_that_is_nowhere_is_unknown(run, name):
    code, output = run(f"{name} | cause | 7", "test_b.py")
    assert code == 4 and f"ERROR: KNOWN-RED.txt: no such test: {name}" in output


def test_where_several_processes_run_the_tests_each_entry_is_told_as_well(run):
    passing = "test_a.py::test_green | passes | 8\n"
    status, output = run(
        RED + passing,
        "-p",
        "xdist",
        "-n",
        "2",
        "test_a.py::test_red",
        "test_a.py::test_green",
        method="runpytest_subprocess",
    )
    assert status == pytest.ExitCode.TESTS_FAILED
    assert "test_a.py::test_red: one is not two (issue 7): failed as expected" in output
    assert "test_a.py::test_green: passes (issue 8): passes" in output
