"""Runs every scenario file of the program."""

import pathlib

import pytest
from socket_player import play

SCENARIOS = sorted((pathlib.Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path, tmp_path):
    play(path, tmp_path)
