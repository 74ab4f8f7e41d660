"""Scenarios of other test files, played while one guard of the program is taken out."""

import importlib.util
import inspect
from pathlib import Path
from unittest import mock

import ward
from ward.testing import Each

HERE = Path(__file__).parent


def scenarios(name):
    """The tests of `name`.py by their descriptions, as plain functions that are not registered again."""
    found = {}

    def collect(description, *given, **more):
        def taken(function):
            found[description] = function
            return function

        return taken

    spec = importlib.util.spec_from_file_location(f"scenarios.{name}", HERE / f"{name}.py")
    module = importlib.util.module_from_spec(spec)
    with mock.patch.object(ward, "test", collect):
        spec.loader.exec_module(module)
    return found


def cases(function):
    """The arguments of each case of a test: its parameters' `each`, side by side."""
    defaults = {
        name: one.default
        for name, one in inspect.signature(function).parameters.items()
        if isinstance(one.default, Each)
    }
    for at in range(max(map(len, defaults.values()), default=1)):
        yield {name: values[at] for name, values in defaults.items()}


def fails(function):
    """Whether a case of a test fails."""
    for given in cases(function):
        try:
            function(**given)
        except Exception:  # an assertion, or what the program raises without its guard
            return True
    return False
