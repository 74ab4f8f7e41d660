"""The wheel, built and installed in clean environments: every command that README names runs from another
folder, and a command whose extra is missing says which.

Nothing of the checkout is on the path of the commands. pip fetches only what pyproject.toml declares.
"""

import json
import os
import re
import shutil
import subprocess
import sys
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BUILT_FROM = ("pyproject.toml", "README.md", "LICENSE")  # and honeywood/
TRACE_EXTRAS = ("operator", "trace-tools")
TIMEOUT_S = 120.0  # far beyond the longest step
PIP_OPTIONS = ("--quiet", "--disable-pip-version-check")
CONFIGURATION = "config.json"
# What README calls, and a form of it that is as short as its parts allow.
COMMANDS = {
    "honeywood --help": ("honeywood", "--help"),
    "honeywood check": ("honeywood", "check", "--config", CONFIGURATION),
    "honeywood lab demo": ("honeywood", "lab", "demo", "--seconds", "1", "--folder", "demo"),
    "honeywood lab emulator hunt": ("honeywood", "lab", "emulator", "hunt", "--days", "1", "--jobs", "1"),
    "honeywood lab soak": ("honeywood", "lab", "soak", "--seeds", "1", "--seconds", "3"),
    "honeywood version": ("honeywood", "version"),
    "python -m honeywood.balancer.benchlink": ("python", "-m", "honeywood.balancer.benchlink"),
    "python -m honeywood.lab.emulator.loopback": (
        *("python", "-m", "honeywood.lab.emulator.loopback", "--no-rollouts"),
    ),
}
NEEDS_TRACES = ("honeywood lab demo",)  # run where the largest libraries are installed
# A front that README starts runs until it is told to end: here a configuration that it can't use must end it.
FRONT = ("python", "-m", "honeywood")
NAMED_COMMAND = re.compile(r"(?:^ {4}|[`/])((?:honeywood(?= )|python -m honeywood\b)[^`#\n]*)", re.MULTILINE)
OPTION = re.compile(r" -[^-m].*| --(?!help).*")  # a command's options and their values
EXAMPLE_CONFIGURATION = re.compile(r'^ {4}\{"listen".*?^(?=\S)', re.MULTILINE | re.DOTALL)


@dataclass(frozen=True, slots=True)
class Installation:
    """A clean virtual environment and a folder beside it in which commands are run."""

    path: Path
    folder: Path

    @classmethod
    def create(cls, path):
        """Makes the environment, without pip."""
        run_checked(sys.executable, "-m", "venv", "--without-pip", str(path))
        folder = path.with_name(f"{path.name}-folder")
        folder.mkdir()
        (folder / CONFIGURATION).write_text(example_configuration())
        return cls(path, folder)

    def install(self, wheel, *extras):
        """Installs the wheel with these extras by the pip that runs the tests."""
        self.install_requirements(f"{wheel}[{','.join(extras)}]" if extras else str(wheel))

    def install_requirements(self, *requirements):
        """Installs what isn't there yet of these requirements."""
        pip = (sys.executable, "-m", "pip", "--python", str(self.path / "bin" / "python"), "install")
        run_checked(*pip, *PIP_OPTIONS, "--no-compile", *requirements, cwd=self.folder)

    def run(self, program, *arguments):
        """A finished run of a program of this environment in its folder, without the checkout on the path."""
        command = [str(self.path / "bin" / program), *arguments]
        return run(*command, cwd=self.folder)

    def run_named(self, names):
        """{name: finished run} of commands by their names in README, all at once."""
        with ThreadPoolExecutor(len(names)) as pool:
            return dict(zip(names, pool.map(lambda name: self.run(*COMMANDS[name]), names)))


def run(*command, **options):
    """A finished run of a command without input and without the checkout on Python's path.

    An editable install leaves its metadata in the checkout: pip would find the package installed there.
    """
    environment = {name: value for name, value in os.environ.items() if name != "PYTHONPATH"}
    return subprocess.run(
        command,
        env=environment,
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        **options,
    )


def run_checked(*command, **options):
    """Runs a command that must end well."""
    done = run(*command, **options)
    assert done.returncode == 0, f"{command}\n{done.stdout}\n{done.stderr}"


def build_wheel(folder):
    """The path of the wheel, built from a copy, so that files of earlier builds don't get into it."""
    source = folder / "source"
    shutil.copytree(
        ROOT / "honeywood", source / "honeywood", ignore=shutil.ignore_patterns("__pycache__", "*.pyc")
    )
    for name in BUILT_FROM:
        shutil.copy(ROOT / name, source)
    run_checked(
        *(sys.executable, "-m", "pip", "wheel", *PIP_OPTIONS, "--no-deps", "--wheel-dir", str(folder)),
        str(source),
    )
    (wheel,) = folder.glob("*.whl")
    return wheel


def declared_libraries(extras):
    """The requirements that these extras of pyproject.toml stand for, without the package itself."""
    declared = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["optional-dependencies"]
    requirements = [requirement for extra in extras for requirement in declared[extra]]
    own = [requirement for requirement in requirements if requirement.startswith("honeywood[")]
    nested = [extra for requirement in own for extra in requirement[len("honeywood[") : -1].split(",")]
    libraries = [requirement for requirement in requirements if requirement not in own]
    return libraries + (declared_libraries(nested) if nested else [])


def example_configuration():
    """The configuration that README shows."""
    (text,) = EXAMPLE_CONFIGURATION.findall((ROOT / "README.md").read_text())
    return json.dumps(json.loads(text))


def commands_in_readme():
    """The commands that README names, without their options and values."""
    named = NAMED_COMMAND.findall((ROOT / "README.md").read_text())
    return {OPTION.sub("", command).strip() for command in named}


def assert_names_extras(done, extras):
    """A run that ended with status 2 and one line, which names these extras."""
    assert done.returncode == 2 and done.stderr.count("\n") == 1, done
    assert done.stderr.startswith("honeywood: ") and f"[{extras}]'" in done.stderr, done


def check_small_installation(folder, wheel):
    """Runs what needs no trace libraries; each missing extra on the way there is named."""
    small = Installation.create(folder / "small")
    small.install(wheel.result())
    for program in (("honeywood",), ("python", "-m", "honeywood")):
        assert_names_extras(small.run(*program, "--help"), "cli")
    front = small.run(*FRONT)
    assert front.returncode == 2 and "ROUTER_CONFIG" in front.stderr and front.stderr.count("\n") == 1, front
    small.install(wheel.result(), "cli")
    assert_names_extras(small.run("honeywood", "trace", "summary", "none"), "trace-tools")
    assert_names_extras(small.run("honeywood", "lab", "demo"), "operator,trace-tools")
    assert_names_extras(small.run("honeywood", "lab", "soak"), "system")
    assert_names_extras(small.run("honeywood", "lab", "emulator", "run"), "system")
    assert "trace-tools" in small.run("honeywood", "--help").stdout
    small.install(wheel.result(), "cli", "system")
    return small.run_named([name for name in COMMANDS if name not in NEEDS_TRACES])


def check_large_installation(folder, wheel):
    """Runs what needs the trace libraries, which are installed while the wheel is built."""
    large = Installation.create(folder / "large")
    large.install_requirements(*declared_libraries(TRACE_EXTRAS))
    large.install(wheel.result(), *TRACE_EXTRAS)
    return large.run_named(NEEDS_TRACES)


def test_commands_of_readme_run_from_a_wheel_in_another_folder(tmp_path):
    assert commands_in_readme() - {" ".join(FRONT)} <= set(COMMANDS)
    with ThreadPoolExecutor(3) as pool:
        wheel = pool.submit(build_wheel, tmp_path)
        checks = (check_large_installation, check_small_installation)
        started = [pool.submit(check, tmp_path, wheel) for check in checks]
        runs = {name: done for check in started for name, done in check.result().items()}
    assert set(runs) == set(COMMANDS)
    for name, done in runs.items():
        assert done.returncode == 0 and "Traceback" not in done.stderr, (name, done)
