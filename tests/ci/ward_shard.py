"""A ward hook module (`--hook-module ward_shard`) that runs a part of the collected tests.

It writes their outcomes to a file. The environment variable WARD_SHARD holds a `Selection` as JSON: the tests
to run and the file to write.
"""

import json
import os
from dataclasses import asdict, dataclass
from pathlib import Path

from shards import Outcome, write_outcomes
from ward.hooks import hook

VARIABLE = "WARD_SHARD"


@dataclass(frozen=True, slots=True)
class Selection:
    """Every `parts`-th test, beginning with number `part`, of all tests not in `skip`.

    If `only` names any tests, the others are left out. The outcomes are written to the file `results`.
    """

    results: str
    part: int = 0
    parts: int = 1
    skip: tuple[str, ...] = ()
    only: tuple[str, ...] = ()

    def encode(self) -> str:
        """Return the text for the environment variable."""
        return json.dumps(asdict(self))

    @classmethod
    def decode(cls, text: str) -> "Selection":
        """Read the text of the environment variable."""
        fields = json.loads(text)
        return cls(**{**fields, "skip": tuple(fields["skip"]), "only": tuple(fields["only"])})

    def pick(self, names: list[str]) -> list[int]:
        """Return the indexes in `names` of the tests to run."""
        selected = [index for index, name in enumerate(names) if name not in self.skip]
        if self.only:
            selected = [index for index in selected if names[index] in self.only]
        return selected[self.part :: self.parts]


def name_of(test) -> str:
    """Return the name of a test, such as `tests/gateway/test_x.py::description as written`.

    It has the description of the test function, not that of a single case.
    """
    path = Path(os.path.relpath(test.path, Path.cwd()))
    return f"{path.as_posix()}::{test.fn.ward_meta.description}"


@hook
def preprocess_tests(config, collected_tests):
    """Remove the tests that are not selected from ward's list."""
    selection = Selection.decode(os.environ[VARIABLE])
    selected = selection.pick([name_of(test) for test in collected_tests])
    collected_tests[:] = [collected_tests[index] for index in selected]


@hook
def after_session(config, test_results, status_code):
    """Write the outcomes for the runner."""
    outcomes = [
        Outcome(
            name_of(result.test),
            result.test.param_meta.instance_index,
            result.outcome.name,
            result.test.timer.duration if result.test.timer else 0.0,
        )
        for result in test_results
    ]
    write_outcomes(Path(Selection.decode(os.environ[VARIABLE]).results), outcomes)
