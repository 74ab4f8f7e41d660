"""The allowed imports between the packages of the balancer, and from the rest of the tree."""

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PACKAGE = "honeywood.balancer"
# A package, or a module directly under honeywood/balancer, imports only from lower layers.
LAYERS = {
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
SHARED_PACKAGES = {"decisions": ("honeywood.release_analysis",)}
# Features of an operator file; they are imported inside functions, only if they are enabled.
OPTIONAL_PACKAGES = {"program": ("honeywood.operator", "honeywood.trace")}


def imported_names(path):
    """Yield the qualified names that a file imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert not node.level, f"{path}: a relative import"
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def outside_imports(package):
    """The honeywood names that a package of the balancer imports from outside that package."""
    folder = ROOT / PACKAGE.replace(".", "/")
    files = [*(folder / package).rglob("*.py"), *folder.glob(f"{package}.py")]
    names = {name for path in files for name in imported_names(path) if name.startswith("honeywood.")}
    return {name for name in names if not name.startswith(f"{PACKAGE}.{package}.")}


def test_every_package_of_the_balancer_has_a_layer():
    folder = ROOT / PACKAGE.replace(".", "/")
    existing = {path.relative_to(folder).with_suffix("").parts[0] for path in folder.rglob("*.py")}
    assert existing - {"__init__"} == set(LAYERS)


@pytest.mark.parametrize("package", LAYERS)
def test_a_package_imports_lower_layers_only(package):
    balancer_imports = {
        name.split(".")[2] for name in outside_imports(package) if name.startswith(f"{PACKAGE}.")
    }
    assert not [other for other in balancer_imports if LAYERS[other] >= LAYERS[package]]


@pytest.mark.parametrize("package", LAYERS)
def test_a_package_imports_only_shared_packages_outside_the_balancer(package):
    allowed = SHARED_PACKAGES.get(package, ()) + OPTIONAL_PACKAGES.get(package, ())
    assert not [name for name in outside_imports(package) if not name.startswith((f"{PACKAGE}.", *allowed))]


@pytest.mark.parametrize("package", ["balancer", "release_analysis", "operator"])
def test_no_package_below_the_gateway_imports_it(package):
    names = {name for path in (ROOT / "honeywood" / package).rglob("*.py") for name in imported_names(path)}
    assert not [name for name in names if name.startswith("honeywood.gateway")]


def test_release_analysis_imports_no_other_package():
    files = (ROOT / "honeywood" / "release_analysis").rglob("*.py")
    names = {name for path in files for name in imported_names(path) if name.startswith("honeywood.")}
    assert not [name for name in names if not name.startswith("honeywood.release_analysis.")]


def test_the_deploy_file_names_all_files_of_the_decisions_and_only_existing_files():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    decisions = (ROOT / "honeywood" / "balancer" / "decisions").glob("*.py")
    names = {path.relative_to(ROOT).as_posix() for path in decisions if path.stem != "__init__"}
    assert names <= set(deploy["policy"])
    assert not [path for path in deploy["policy"] + deploy["node"] if not (ROOT / path).exists()]
