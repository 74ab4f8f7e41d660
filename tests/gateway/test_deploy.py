"""The deploy files list every Debian package that a clean build needs, and no others."""

import shlex
import tomllib
from pathlib import Path

from ward import each, test

ROOT = Path(__file__).resolve().parents[2]
SEPARATORS = {"&&", "||", ";", "(", "|"}  # the word after one of these is a program
MODULE_PACKAGES = {"pip": "python3-pip", "venv": "python3-venv"}  # modules that Debian's python3 lacks
PROGRAM_PACKAGES = {
    **dict.fromkeys(("[", "exec"), "dash"),
    **dict.fromkeys(("cp", "env", "rm"), "coreutils"),
    "cmp": "diffutils",
    "python3": "python3",
}
# Packages that need not be listed: the first three are on every machine, as they are marked essential
# (`dpkg-query -W -f '${Essential}' NAME`); python3 depends on libc6 (`apt-cache depends --recurse python3`).
IMPLIED_PACKAGES = {"coreutils", "dash", "diffutils", "libc6"}
# Packages with the shared libraries that each wheel loads from outside itself, found by `ldd` on each .so of
# the wheel for CPython 3.11 on x86-64 and by `dpkg -S`. httptools and lmdb load only libc.so.6,
# libpthread.so.0 and ld-linux-x86-64.so.2; the other wheels are tagged py3-none-any and hold no .so.
LIBRARY_PACKAGES = {
    "anyio": set(),
    "httpcore": set(),
    "httptools": {"libc6"},
    "lmdb": {"libc6"},
    "structlog": set(),
    "uvicorn": set(),
}


def split_commands(line):
    """The commands of a shell line, each as a list of words."""
    lexer = shlex.shlex(line, posix=True, punctuation_chars=True)
    lexer.whitespace_split = True
    commands = [[]]
    for word in lexer:
        if word in SEPARATORS:
            commands.append([])
        elif word != ")":
            commands[-1].append(word)
    return [command for command in commands if command]


def packages_of(command):
    """The packages with the program of a command and with the Python module that it runs."""
    needed = set()
    while command[0] in ("exec", "env") or "=" in command[0]:
        if command[0] in PROGRAM_PACKAGES:
            needed.add(PROGRAM_PACKAGES[command[0]])
        command = command[1:]
    if command[0].startswith(".venv/bin/"):  # created by the build itself
        return needed
    needed.add(PROGRAM_PACKAGES[command[0]])
    if command[0] == "python3":
        module = command[command.index("-m") + 1]
        needed.update({MODULE_PACKAGES[module]} if module in MODULE_PACKAGES else ())
        assert module in MODULE_PACKAGES or module.startswith("honeywood."), module
    return needed


def command_lines(deploy):
    """Every command line in a deploy file that a shell or the bench runs."""
    programs = [deploy, *deploy.get("roles", {}).values()]
    return [program[key] for program in programs for key in ("build", "run", "sim") if key in program]


def required_wheels(name):
    """The names of the wheels that a requirements file lists."""
    return {line.partition("==")[0] for line in (ROOT / name).read_text().split()}


@test("deploy/{name} lists the packages of the programs it runs and of the libraries its wheels load")
def _(name=each("system.toml", "balancer.toml"), wheels=each("requirements-system.txt", "requirements.txt")):
    deploy = tomllib.loads((ROOT / "deploy" / name).read_text())
    needed = set()
    for line in command_lines(deploy):
        for command in split_commands(line):
            needed |= packages_of(command)
    for wheel in required_wheels(wheels):
        needed |= LIBRARY_PACKAGES[wheel]
    assert set(deploy["packages"]) == needed - IMPLIED_PACKAGES
    assert wheels in deploy["build"]


@test("packages are found for commands that follow exec, env, assignments and separators")
def _():
    line = "[ a -nt b ] || (exec env A=1 python3 -m pip install x && .venv/bin/python -m y)"
    found = [packages_of(command) for command in split_commands(line)]
    assert found == [{"dash"}, {"dash", "coreutils", "python3", "python3-pip"}, set()]
