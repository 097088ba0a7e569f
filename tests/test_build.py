"""The first start in a new checkout: two at once, after an earlier one that was interrupted."""

import shutil
import subprocess
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]


@pytest.fixture
def folder(tmp_path):
    """A checkout without dependencies, so that nothing is downloaded."""
    (tmp_path / "deploy").mkdir()
    (tmp_path / "ramppulley").mkdir()
    (tmp_path / "ramppulley" / "__init__.py").touch()
    (tmp_path / "requirements.txt").touch()
    shutil.copy(ROOT / "deploy" / "build", tmp_path / "deploy" / "build")
    return tmp_path


def test_two_first_starts_at_once_make_one_whole_environment(folder):
    interrupted = folder / ".venv.new" / "bin"
    interrupted.mkdir(parents=True)
    (interrupted / "python").write_text("left by an interrupted start")
    starts = [subprocess.Popen([folder / "deploy" / "build"], stderr=subprocess.PIPE, text=True) for _ in range(2)]
    errors = [start.communicate(timeout=50)[1] for start in starts]
    assert [start.returncode for start in starts] == [0, 0], errors
    subprocess.run([folder / ".venv" / "bin" / "python", "-m", "pip", "--version"], check=True, capture_output=True)
    scripts = [path.read_text() for path in (folder / ".venv" / "bin").glob("pip*")]
    assert scripts and not any(".venv.new" in script for script in scripts)
    assert not (folder / ".venv.new").exists()
