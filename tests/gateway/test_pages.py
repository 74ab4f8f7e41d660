"""What the docs mention exists: paths, links, modules, commands, log events, terms of the glossary."""

import ast
import importlib
import re
from importlib.util import find_spec
from pathlib import Path

import click
from ward import each, test

from honeywood.cli.main import main as honeywood

ROOT = Path(__file__).resolve().parents[2]
GATEWAY = ROOT / "honeywood" / "gateway"
GLOSSARY = "docs/glossary.md"
ON_CALL = "docs/on-call.md"
MAIN_PAGES = ("README.md", "CONTRIBUTING.md", "docs/architecture.md", "docs/balancer.md", GLOSSARY, ON_CALL)
PAGES = (
    *MAIN_PAGES,
    *sorted(
        page.relative_to(ROOT).as_posix()
        for folder in ("docs/design", "docs/operate")
        for page in (ROOT / folder).glob("*.md")
    ),
)
# Folders in which a shortened path may exist.
SOURCES = ("benchmarks", "deploy", "docs", "honeywood", "tests")
OPTIONAL_FILES = {"KNOWN-RED.txt"}  # exists only while a test is listed in it
# Old names of packages and targets. `bourse` is not among them: it is still a kind of record on the wire.
WITHDRAWN_NAMES = {"cart", "crier", "ledger", "market", "porter", "prove", "scales", "stall", "terms"}
LOG_METHODS = {"info"}
MIN_EVENTS = 20

TOP_FOLDERS = ("benchmarks", "deploy", "docs", "honeywood", "journal", "tests")
QUOTED = re.compile(r"`([^`\n]+)`")
PATH = re.compile(rf"(?:{'|'.join(TOP_FOLDERS)})/[\w./-]*")
LINK = re.compile(r"\]\(([^)#:\s]+)(?:#[\w-]*)?\)")
NAMED_PATH = re.compile(r"(?<![\w./*-])[\w./-]+\.(?:py|toml|md|hcl|txt)\b")
NAMED_MODULE = re.compile(r"\bhoneywood(?:\.\w+)+(?<!\.py)\b")
QUOTED_WORD = re.compile(r"`(\w+)`")
CODE_LINE = re.compile(r"^ {4}(.+)$", re.MULTILINE)
COMMAND = re.compile(r"(?:^|; |&& |bin/)(honeywood|make|python -m [\w.]+)((?: [\w./=*-]+)*)")
TERM_SECTION = re.compile(r"^## Terms of .*?(?=^## |\Z)", re.MULTILINE | re.DOTALL)
TERM_ROW = re.compile(r"^\| ([^|]*`[^|]+) \| [^|]+ \| (`[^|]+) \| [^|]* \|$", re.MULTILINE)
OLD_NAMES = re.compile(r"^## Old names$.*?(?=^## |\Z)", re.MULTILINE | re.DOTALL)
EVENT_SECTION = re.compile(r"^## Events of .*?(?=^## )", re.MULTILINE | re.DOTALL)
EVENT_ROW = re.compile(r"^\| (`[^|]+) \|", re.MULTILINE)
# Groups that delegate to a command in another module, so that its libraries are imported only when it runs.
DELEGATED_GROUPS = {"emulator": "honeywood.cli.emulator", "soak": "honeywood.cli.soak"}


def text_of(page):
    """A page's text without its section of old names, as these no longer exist."""
    return OLD_NAMES.sub("", (ROOT / page).read_text())


def code_of(page):
    """The code in a page: quoted words, and indented lines without their comments."""
    text = text_of(page)
    lines = [line.partition("  #")[0] for line in CODE_LINE.findall(text)]
    return QUOTED.findall(text) + lines


def commands_of(page):
    """(program, arguments) of the commands that a page shows."""
    matches = [match for code in code_of(page) for match in COMMAND.findall(code)]
    return [(program, words.split()) for program, words in matches]


def command_of(words):
    """(the click command that the words select, the remaining words)."""
    command, rest = honeywood, list(words)
    while rest and isinstance(command, click.Group) and not rest[0].startswith("-"):
        word = rest.pop(0)
        found = command.get_command(None, word)
        assert found is not None, f"no command {word!r} of {command.name}"
        command = (
            importlib.import_module(DELEGATED_GROUPS[word]).command if word in DELEGATED_GROUPS else found
        )
    return command, rest


def options_of(command):
    """The options that a command accepts."""
    names = {name for parameter in command.params for name in (*parameter.opts, *parameter.secondary_opts)}
    return names | {"--help"}


def make_targets():
    """The targets of the Makefile."""
    return set(re.findall(r"^(\w+):", text_of("Makefile"), re.MULTILINE))


def names_in(paths):
    """The words in the Python files at and below the paths, and in these files' own paths."""
    files = [file for path in paths for file in ([path] if path.is_file() else path.rglob("*.py"))]
    texts = [text for file in files for text in (file.read_text(), str(file.relative_to(ROOT)))]
    return {word for text in texts for word in re.findall(r"\w+", text)}


def shortened_paths():
    """Every path of a file, in full and without leading folders, as `routing/routes.py` and `routes.py`."""
    files = [path.relative_to(ROOT).parts for folder in SOURCES for path in (ROOT / folder).rglob("*.*")]
    return {"/".join(parts[start:]) for parts in files for start in range(len(parts))}


@test("every path that {page} mentions exists")
def _(page=each(*PAGES)):
    known = shortened_paths() | {path.name for path in ROOT.iterdir()} | OPTIONAL_FILES
    named = set(NAMED_PATH.findall(text_of(page)))
    relative = {name for name in named if not name.startswith("/")}
    assert not sorted(name for name in relative if name.removeprefix("./").removeprefix("../") not in known)


@test("every module that {page} mentions exists")
def _(page=each(*PAGES)):
    sources = [path.relative_to(ROOT).with_suffix("") for path in (ROOT / "honeywood").rglob("*.py")]
    files = {".".join(path.parts) for path in sources}
    folders = {".".join(folder.parts) for path in sources for folder in path.parents}
    named = set(NAMED_MODULE.findall(text_of(page)))
    in_a_file = {name for name in named if name.rpartition(".")[0] in files}
    assert not sorted(named - files - folders - in_a_file)


@test("{page} uses no withdrawn name")
def _(page=each(*PAGES)):
    assert not WITHDRAWN_NAMES & set(QUOTED_WORD.findall(text_of(page)))


@test("every path that {page} gives in full exists")
def _(page=each(*MAIN_PAGES)):
    named = {path for code in code_of(page) for path in PATH.findall(code)}
    assert not sorted(path for path in named if not (ROOT / path.rstrip(".")).exists())


@test("every link of {page} leads to a file")
def _(page=each(*PAGES)):
    folder = (ROOT / page).parent
    assert not [link for link in LINK.findall(text_of(page)) if not (folder / link).exists()]


@test("every command that {page} shows exists, with its options")
def _(page=each(*PAGES)):
    for program, words in commands_of(page):
        if program == "honeywood" and words:
            command, rest = command_of(words)
            options = {word for word in rest if word.startswith("--")}
            assert options <= options_of(command), (page, words)
        elif program == "make" and words:
            assert words[0] in make_targets(), (page, words)
        elif program.startswith("python -m "):
            assert find_spec(program.split()[-1]) is not None, (page, program)


def calls_by_name(path, names):
    """The calls in a file to methods with these names."""
    nodes = ast.walk(ast.parse(path.read_text()))
    calls = (node for node in nodes if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute))
    return [call for call in calls if call.func.attr in names]


def texts_in(node):
    """The text constants in a syntax tree."""
    constants = (part for part in ast.walk(node) if isinstance(part, ast.Constant))
    return {part.value for part in constants if isinstance(part.value, str)}


def logged_events():
    """The events that the gateway logs with a constant name."""
    calls = [call for path in GATEWAY.rglob("*.py") for call in calls_by_name(path, LOG_METHODS) if call.args]
    events = {event for call in calls for event in texts_in(call.args[0])}
    assert len(events) >= MIN_EVENTS, "too few events found: is the log written by another method?"
    return events


def documented_events():
    """The events in the tables of the on-call page."""
    sections = EVENT_SECTION.findall(text_of(ON_CALL))
    rows = [row for section in sections for row in EVENT_ROW.findall(section)]
    return {event for row in rows for event in QUOTED.findall(row)}


@test("the on-call page has every event that the gateway logs")
def _():
    assert not sorted(logged_events() - documented_events())


@test("the gateway logs every event of the on-call page")
def _():
    texts = {
        text for path in GATEWAY.rglob("*.py") for text in texts_in(ast.parse(path.read_text()))
    }  # some events are values of an enumeration, or parts of a line that is printed without the log
    unknown = documented_events() - logged_events()
    assert not sorted(event for event in unknown if not any(event in text for text in texts))


@test("every term of the glossary occurs in the module listed beside it")
def _():
    sections = TERM_SECTION.findall(text_of(GLOSSARY))
    rows = [row for section in sections for row in TERM_ROW.findall(section)]
    assert rows
    missing = []
    for terms, modules in rows:
        known = names_in([ROOT / path for path in PATH.findall(modules)])
        named = {name for term in QUOTED.findall(terms) for name in re.findall(r"\w+", term)}
        missing += sorted(named - known)
    assert not missing
