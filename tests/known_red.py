"""A pytest plugin for KNOWN-RED.txt at the root, which `conftest.py` loads: tests that fail for a known, unfixed fault.

The file has at most three lines `test id | cause | issue`. The tests are run and have to fail in their own body: one that
fails in a fixture or is killed by its timeout does not show the known fault.
"""

import ast

import pytest

FILE, MAX_ENTRIES = "KNOWN-RED.txt", 3
LISTED, RESULTS = pytest.StashKey(), pytest.StashKey()


def parse_entries(text):
    """{test id: (cause, issue)} of the file's text; raises ValueError. Ignores blank lines and lines that begin with `#`."""
    entries = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split(" | ")]
        if len(fields) != 3 or not all(fields) or not fields[2].isdecimal():
            raise ValueError(f"{FILE}:{number}: `test id | cause | issue (a number)` is needed: {line!r}")
        if fields[0] in entries:
            raise ValueError(f"{FILE}:{number}: {fields[0]} is listed twice")
        entries[fields[0]] = fields[1], fields[2]
        if len(entries) > MAX_ENTRIES:
            raise ValueError(f"{FILE}:{number}: a fourth entry, there may be {MAX_ENTRIES}: mend one first")
    return entries


def is_defined(root, name):
    """Whether a test that this run did not collect is defined in its file, as far as the syntax tree shows."""
    file, *names = name.partition("[")[0].split("::")
    try:
        tree = ast.parse((root / file).read_bytes())
    except (OSError, SyntaxError, ValueError):
        return False
    definitions = ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef
    names_defined = {node.name for node in ast.walk(tree) if isinstance(node, definitions)}
    module = file.removesuffix(".py").replace("/", ".")  # the id of a doctest begins with it
    return bool(names) and all(
        part in names_defined
        for test_name in names
        for part in test_name.removeprefix(module).strip(".").split(".")
        if part
    )


def pytest_configure(config):
    try:
        listed = parse_entries((config.rootpath / FILE).read_text(encoding="utf-8"))
    except FileNotFoundError:
        listed = {}
    except OSError as error:
        raise pytest.UsageError(f"{FILE}: {error.strerror}") from None
    except ValueError as error:  # also UnicodeDecodeError
        raise pytest.UsageError(str(error)) from None
    config.stash[LISTED], config.stash[RESULTS] = listed, {}
    config.pluginmanager.register(Collector(config.stash[RESULTS]))


class Collector:
    """Collects the results of listed tests from all reports, also from those of xdist's worker processes."""

    def __init__(self, results):
        self.results = results

    def pytest_runtest_logreport(self, report):
        for name, value in report.user_properties:
            if name == FILE:
                self.results[report.nodeid] = value


@pytest.hookimpl(tryfirst=True)  # before -k and similar options deselect tests
def pytest_collection_modifyitems(session, config, items):
    if session.testsfailed:  # a file that cannot be collected hides its tests, and fails the run
        return
    from_root = config.invocation_params.dir == config.rootpath
    is_full_run = (
        from_root
        and config.args_source is not config.ArgsSource.ARGS
        and not any(config.getoption(name, None) for name in ("lf", "ignore", "ignore_glob"))
    )
    names = {item.nodeid for item in items}
    for name in config.stash[LISTED]:
        if name not in names and (is_full_run or not is_defined(config.rootpath, name)):
            raise pytest.UsageError(f"{FILE}: no such test: {name}")


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    report = yield
    listed = item.config.stash[LISTED].get(item.nodeid)
    if not listed:
        return report
    result = ""
    if report.skipped or (report.when == "call" and report.passed):
        result = "was skipped" if report.skipped else "passes"
        report.outcome, report.longrepr = "failed", f"{FILE} lists it, but it {result}"
        vars(report).pop("wasxfail", None)  # its own xfail mark does not count
    elif report.when == "call" and "from pytest-timeout" not in str(call.excinfo.value):
        result = "failed as expected"
        report.outcome, report.wasxfail = "skipped", f"{listed[0]} (issue {listed[1]})"
    elif report.failed:
        result = "failed in another way"
    if result:
        report.user_properties.append((FILE, result))
    return report


def pytest_terminal_summary(terminalreporter, exitstatus, config):
    if config.stash[LISTED] and exitstatus != pytest.ExitCode.USAGE_ERROR:
        terminalreporter.section(FILE)
        for name, (cause, issue) in config.stash[LISTED].items():
            result = config.stash[RESULTS].get(name, "not run")
            terminalreporter.line(f"{name}: {cause} (issue {issue}): {result}")
