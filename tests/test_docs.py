"""Tests and source files that the documents name have to exist."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PAGES = sorted((ROOT / "docs" / "races").glob("*.md"))
NAMED = re.compile(r"(test_\w+\.py)::(test_\w+)")


def functions_in(name):
    """The names of all test functions of a file under tests/."""
    path = ROOT / "tests" / name
    return set(re.findall(r"def (test_\w+)\(", path.read_text())) if path.exists() else set()


def race_table_rows(text):
    """The cells of each row of the tables whose first column is `moment`."""
    in_table = False
    for line in text.splitlines():
        if line.startswith("| moment "):
            in_table = True
        elif not line.startswith("|"):
            in_table = False
        elif in_table and not line.startswith("| ---"):
            yield [cell.strip() for cell in re.split(r"(?<!\\)\|", line.strip("|"))]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.stem)
def test_each_test_that_a_table_names_exists(page):
    named = NAMED.findall(page.read_text())
    assert named
    missing = [f"{name}::{test}" for name, test in named if test not in functions_in(name)]
    assert not missing


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.stem)
def test_each_row_of_a_moment_names_a_test(page):
    last_cells = [cells[-1] for cells in race_table_rows(page.read_text()) if any(cells[1:])]
    assert last_cells
    assert not [cell for cell in last_cells if "test_" not in cell and "`[" not in cell]


GUIDES = ["README.md", "CONTRIBUTING.md", "docs/architecture.md", "docs/design-platform.md", "docs/design-members.md"]
SOURCE_FILE = re.compile(r"`(?:ramppulley/)?([a-z_]+(?:/[a-z_]+)*\.py)`")
PROGRAM = ROOT / "ramppulley"


def is_source_file(name):
    """Whether a file of the program or of its tests has this name, with or without its folders."""
    files = [*PROGRAM.rglob("*.py"), *(ROOT / "tests").glob("*.py")]
    return (ROOT / name).exists() or any(f"/{path.relative_to(ROOT)}".endswith(f"/{name}") for path in files)


def unknown_source_files(text):
    """The files that a text names and that do not exist. A text that names none fails: nothing would be checked."""
    named = SOURCE_FILE.findall(text)
    assert named
    return [name for name in named if not is_source_file(name)]


@pytest.mark.parametrize("page", GUIDES)
def test_each_source_file_that_a_guide_names_exists(page):
    assert not unknown_source_files((ROOT / page).read_text())


def test_each_source_file_that_the_tables_of_moments_name_exists():
    assert not unknown_source_files("\n".join(page.read_text() for page in PAGES))
