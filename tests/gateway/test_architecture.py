"""Which package imports which, and that the paths named by the pages exist."""

import ast
import re
from pathlib import Path

from ward import each, test

ROOT = Path(__file__).resolve().parents[2]
GATEWAY = ROOT / "honeywood" / "gateway"
PACKAGE = "honeywood.gateway"
# The gateway's floors, docs/architecture.md: a package imports lower ones only. A module directly under
# gateway/ stands under its own name.
FLOORS = {
    "errors": 0,
    "configuration": 1,
    "rpc": 1,
    "register": 2,
    "dissemination": 2,
    "routing": 2,
    "rollout": 2,
    "event_log": 1,
    "metrics": 1,
    "metrics_endpoint": 2,
    "periodic_tasks": 2,
    "program": 3,
    "settings_file": 2,
    "startup": 3,
    "proxy": 4,
    "controller": 4,
}
PAGES = sorted(
    page.relative_to(ROOT).as_posix()
    for folder in ("docs/design", "docs/operate")
    for page in (ROOT / folder).glob("*.md")
)
PAGES += ["README.md", "CONTRIBUTING.md"]
PAGES += [f"docs/{name}.md" for name in ("architecture", "balancer", "glossary", "on-call")]
NAMED_PATH = re.compile(r"(?<![\w./*-])[\w./-]+\.(?:py|toml|md|hcl|txt)\b")
AT_TIMES = {"KNOWN-RED.txt"}  # there only while a test is listed in it
# Packages and targets that were renamed. `bourse` isn't among them: it is a kind of record on the wire.
WITHDRAWN_NAMES = {"cart", "crier", "ledger", "market", "porter", "prove", "scales", "stall", "terms"}
QUOTED_WORD = re.compile(r"`(\w+)`")
NAMED_MODULE = re.compile(r"\bhoneywood(?:\.\w+)+(?<!\.py)\b")
WITHDRAWN = re.compile(r"^## Old names$.*?(?=^## |\Z)", re.MULTILINE | re.DOTALL)
SOURCES = (
    "benchmarks",
    "deploy",
    "docs",
    "honeywood",
    "tests",
)  # where a shortened path may lead
BELOW_THE_GATEWAY = ("honeywood.release_analysis",)  # the statistics, which both fronts share
# Imports that break the floors, each with its reason.
EXCEPTIONS = {
    ("rpc", "configuration"): "calls read JSON as configuration/check.py does",
    ("dissemination", "routing"): "retired_machines.py needs the states of a machine out of service",
    ("rollout", "dissemination"): "the machines that get a trial are ranked as the relays are",
    ("rollout", "routing"): "outcomes are counted by what an answer meant",
}


def imported(path):
    """The whole names of what a file imports: of modules, or of what it takes out of one."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert not node.level, f"{path}: a relative import"
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def room(module):
    """The package under gateway/ that a module is part of, or the module directly under it."""
    return module.removeprefix(f"{PACKAGE}.").split(".")[0]


def steps():
    """(importing package, imported module) of every import of ours that leaves its package."""
    found = set()
    for path in GATEWAY.rglob("*.py"):
        here = path.relative_to(GATEWAY).with_suffix("").parts[0]
        found |= {
            (here, name) for name in imported(path) if name.startswith("honeywood.") and room(name) != here
        }
    return found


@test("every package of the gateway has a floor, and so has nothing else")
def _():
    rooms = {path.relative_to(GATEWAY).with_suffix("").parts[0] for path in GATEWAY.rglob("*.py")}
    assert rooms - {"__init__"} == set(FLOORS)


@test("a package of the gateway imports lower floors only")
def _():
    inside = {(here, room(name)) for here, name in steps() if name.startswith(f"{PACKAGE}.")}
    upward = {(here, there) for here, there in inside if FLOORS[here] <= FLOORS[there]}
    assert upward <= set(EXCEPTIONS)


@test("the gateway imports nothing of ours beside it but the statistics")
def _():
    beside = {name for _, name in steps() if not name.startswith(f"{PACKAGE}.")}
    assert not [name for name in beside if not name.startswith(BELOW_THE_GATEWAY)]


@test("startup imports nothing before it has put the stand-ins in place")
def _():
    own = [name for name in imported(GATEWAY / "startup.py") if name.startswith("honeywood")]
    assert not own


def text_of(page):
    """A page's text without its section of withdrawn names, which by nature don't exist."""
    return WITHDRAWN.sub("", (ROOT / page).read_text())


def shortened():
    """Every file by each of its shortened paths: `routing/routes.py` and `routes.py` too."""
    files = [path.relative_to(ROOT).parts for folder in SOURCES for path in (ROOT / folder).rglob("*.*")]
    return {"/".join(parts[at:]) for parts in files for at in range(len(parts))}


@test("every path that {page} names exists")
def _(page=each(*PAGES)):
    known = shortened() | {path.name for path in ROOT.iterdir()} | AT_TIMES
    named = set(NAMED_PATH.findall(text_of(page)))
    relative = {name for name in named if not name.startswith("/")}
    assert not sorted(name for name in relative if name.removeprefix("./").removeprefix("../") not in known)


@test("every module that {page} names exists")
def _(page=each(*PAGES)):
    sources = [path.relative_to(ROOT).with_suffix("") for path in (ROOT / "honeywood").rglob("*.py")]
    files = {".".join(path.parts) for path in sources}
    folders = {".".join(folder.parts) for path in sources for folder in path.parents}
    named = set(NAMED_MODULE.findall(text_of(page)))
    in_a_file = {name for name in named if name.rpartition(".")[0] in files}
    assert not sorted(named - files - folders - in_a_file)


@test("{page} calls nothing by a withdrawn name")
def _(page=each(*PAGES)):
    assert not WITHDRAWN_NAMES & set(QUOTED_WORD.findall(text_of(page)))


def calls(path, method):
    """The calls of a method of this name in a file."""
    nodes = ast.walk(ast.parse(path.read_text()))
    found = (node for node in nodes if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute))
    return [node for node in found if node.func.attr == method]


def events():
    """The events that the gateway's programs log, but for those whose names are worked out."""
    logged = [call.args[0] for path in GATEWAY.rglob("*.py") for call in calls(path, "info") if call.args]
    return {event.value for event in logged if isinstance(event, ast.Constant)}


@test("every event in a log stands on the on-call page, before its table of old names")
def _():
    page = text_of("docs/on-call.md")
    assert not sorted(event for event in events() if f"`{event}`" not in page)


@test("no test file imports another: its tests would be collected twice")
def _():
    files = sorted((ROOT / "tests" / "gateway").rglob("test_*.py"))
    names = {path.stem for path in files}
    assert not [path.name for path in files if names & {name.partition(".")[0] for name in imported(path)}]
