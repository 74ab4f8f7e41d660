"""Plays every scenario file of the decisions."""

import pathlib

import pytest
from decision_player import play

SCENARIOS = sorted((pathlib.Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path):
    play(path)
