"""Which package of the balancer imports which, and what of the rest of the tree."""

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PACKAGE = "honeywood.balancer"
# A package, or a module directly under honeywood/balancer, imports only what stands on lower floors.
FLOORS = {
    "model": 1,
    "sections": 1,
    "transport": 1,
    "settings": 2,
    "interface": 2,
    "flow_control": 2,
    "settings_codec": 3,
    "decisions": 3,
    "protocol": 3,
    "configuration": 4,
    "actors": 5,
    "benchlink": 5,
    "program": 6,
}
SHARED = {"decisions": ("honeywood.release_analysis",)}
# What an operator file switches on is imported inside functions, only where it is switched on.
SWITCHED_ON = {"program": ("honeywood.operator", "honeywood.trace")}


def imported(path):
    """The names of what a file imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert not node.level, f"{path}: a relative import"
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def ours(package):
    """What the files of a package of the balancer import of ours outside that package."""
    folder = ROOT / PACKAGE.replace(".", "/")
    files = [*(folder / package).rglob("*.py"), *folder.glob(f"{package}.py")]
    names = {name for path in files for name in imported(path) if name.startswith("honeywood.")}
    return {name for name in names if not name.startswith(f"{PACKAGE}.{package}.")}


def test_every_package_of_the_balancer_has_a_floor():
    folder = ROOT / PACKAGE.replace(".", "/")
    there = {path.relative_to(folder).with_suffix("").parts[0] for path in folder.rglob("*.py")}
    assert there - {"__init__"} == set(FLOORS)


@pytest.mark.parametrize("package", FLOORS)
def test_a_package_imports_lower_floors_only(package):
    inside = {name.split(".")[2] for name in ours(package) if name.startswith(f"{PACKAGE}.")}
    assert not [other for other in inside if FLOORS[other] >= FLOORS[package]]


@pytest.mark.parametrize("package", FLOORS)
def test_beside_the_balancer_a_package_imports_nothing_but_what_is_shared(package):
    allowed = SHARED.get(package, ()) + SWITCHED_ON.get(package, ())
    assert not [name for name in ours(package) if not name.startswith((f"{PACKAGE}.", *allowed))]


@pytest.mark.parametrize("package", ["balancer", "release_analysis", "operator"])
def test_nothing_below_the_gateway_imports_it(package):
    names = {name for path in (ROOT / "honeywood" / package).rglob("*.py") for name in imported(path)}
    assert not [name for name in names if name.startswith("honeywood.gateway")]


def test_release_analysis_imports_nothing_else_of_ours():
    files = (ROOT / "honeywood" / "release_analysis").rglob("*.py")
    names = {name for path in files for name in imported(path) if name.startswith("honeywood.")}
    assert not [name for name in names if not name.startswith("honeywood.release_analysis.")]


def test_the_deploy_file_names_every_file_of_the_decisions_and_only_what_exists():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    decisions = (ROOT / "honeywood" / "balancer" / "decisions").glob("*.py")
    names = {path.relative_to(ROOT).as_posix() for path in decisions if path.stem != "__init__"}
    assert names <= set(deploy["policy"])
    assert not [path for path in deploy["policy"] + deploy["node"] if not (ROOT / path).exists()]
