"""Mutation testing: runs scenarios of other test files while one safeguard of the program is removed."""

import importlib.util
import inspect
from pathlib import Path
from unittest import mock

import ward
from ward.testing import Each

HERE = Path(__file__).parent


def scenarios(name):
    """Returns the tests of `name`.py by description, as plain functions that ward does not register again."""
    tests = {}

    def collect(description, *arguments, **options):
        def decorate(function):
            tests[description] = function
            return function

        return decorate

    spec = importlib.util.spec_from_file_location(f"scenarios.{name}", HERE / f"{name}.py")
    module = importlib.util.module_from_spec(spec)
    with mock.patch.object(ward, "test", collect):
        spec.loader.exec_module(module)
    return tests


def cases(function):
    """Yields the arguments of each case of a test, from the `each` values of its parameters."""
    defaults = {
        name: parameter.default
        for name, parameter in inspect.signature(function).parameters.items()
        if isinstance(parameter.default, Each)
    }
    for index in range(max(map(len, defaults.values()), default=1)):
        yield {name: values[index] for name, values in defaults.items()}


def fails(function):
    """Returns whether any case of a test fails."""
    for arguments in cases(function):
        try:
            function(**arguments)
        except Exception:  # a failed assertion, or an error of the program without its safeguard
            return True
    return False
