"""A plugin of pytest's (`-p pytest_known_red`): passes over the tests that the environment variable KNOWN_RED
names, one a line, each with all its cases. By whole names: `--deselect` would take `test_ab` with `test_a`.
"""

import os

from known_red import is_case_of

VARIABLE = "KNOWN_RED"


def pytest_collection_modifyitems(config, items):
    """Leaves what isn't listed."""
    listed = os.environ.get(VARIABLE, "").splitlines()
    items[:] = [item for item in items if not any(is_case_of(item.nodeid, test) for test in listed)]
