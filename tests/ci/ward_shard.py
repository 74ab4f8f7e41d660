"""A hook module of ward's (`--hook-module ward_shard`): runs a part of what was collected and writes
what came of it.

What to run and where to write stands as JSON in the environment variable WARD_SHARD.
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
    """Every `parts`-th test from `part` on, of those not in `skip`; of `only` where any are named."""

    results: str
    part: int = 0
    parts: int = 1
    skip: tuple[str, ...] = ()
    only: tuple[str, ...] = ()

    def encode(self) -> str:
        """As the environment variable holds it."""
        return json.dumps(asdict(self))

    @classmethod
    def decode(cls, text: str) -> "Selection":
        """From what the environment variable holds."""
        fields = json.loads(text)
        return cls(**{**fields, "skip": tuple(fields["skip"]), "only": tuple(fields["only"])})

    def pick(self, names: list[str]) -> list[int]:
        """The places in `names` of what is to be run."""
        wanted = [at for at, name in enumerate(names) if name not in self.skip]
        if self.only:
            wanted = [at for at in wanted if names[at] in self.only]
        return wanted[self.part :: self.parts]


def name_of(test) -> str:
    """`tests/gateway/test_x.py::description as written`: the function's own description, not a case's."""
    path = Path(os.path.relpath(test.path, Path.cwd()))
    return f"{path.as_posix()}::{test.fn.ward_meta.description}"


@hook
def preprocess_tests(config, collected_tests):
    """Leaves what is to be run in ward's list."""
    selection = Selection.decode(os.environ[VARIABLE])
    picked = selection.pick([name_of(test) for test in collected_tests])
    collected_tests[:] = [collected_tests[at] for at in picked]


@hook
def after_session(config, test_results, status_code):
    """Writes the outcomes for the runner."""
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
