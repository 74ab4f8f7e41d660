"""Every source file is valid for the Python that runs the tests, also those that no test imports."""

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
