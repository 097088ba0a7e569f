"""The first start in a folder: two at once, and one after another that was stopped half way."""

import shutil
import subprocess
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]


@pytest.fixture
def folder(tmp_path):
    """A checkout that needs no library, so that nothing is fetched."""
    (tmp_path / "deploy").mkdir()
    (tmp_path / "ramppulley").mkdir()
    (tmp_path / "ramppulley" / "__init__.py").touch()
    (tmp_path / "requirements.txt").touch()
    shutil.copy(ROOT / "deploy" / "build", tmp_path / "deploy" / "build")
    return tmp_path


def test_two_first_starts_at_once_make_one_whole_environment(folder):
    half_made = folder / ".venv.new" / "bin"
    half_made.mkdir(parents=True)
    (half_made / "python").write_text("left by a start that was stopped")
    starts = [subprocess.Popen([folder / "deploy" / "build"], stderr=subprocess.PIPE, text=True) for _ in range(2)]
    said = [start.communicate(timeout=50)[1] for start in starts]
    assert [start.returncode for start in starts] == [0, 0], said
    subprocess.run([folder / ".venv" / "bin" / "python", "-m", "pip", "--version"], check=True, capture_output=True)
    scripts = [path.read_text() for path in (folder / ".venv" / "bin").glob("pip*")]
    assert scripts and not any(".venv.new" in script for script in scripts)
    assert not (folder / ".venv.new").exists()
