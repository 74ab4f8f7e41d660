"""Every source file, even one that no test imports, is valid for the Python version that runs the tests."""

from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
FOLDERS = ("honeywood", "benchmarks", "tests")


@pytest.mark.parametrize("folder", FOLDERS)
def test_every_source_file_compiles(folder):
    paths = sorted((ROOT / folder).rglob("*.py"))
    assert paths
    for path in paths:
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
