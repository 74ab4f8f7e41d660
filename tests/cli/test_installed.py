"""The wheel, built and installed in clean environments.

Every command that README names runs from a folder outside the checkout, and a command whose extra is missing
names it. The checkout is not on the Python path of the commands. pip downloads only what pyproject.toml
declares.
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
TIMEOUT_S = 120.0  # much longer than the longest step
PIP_OPTIONS = ("--quiet", "--disable-pip-version-check")
CONFIGURATION = "config.json"
# The commands that README names, and the arguments of the shortest run of each.
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
NEEDS_TRACES = ("honeywood lab demo",)  # run in the environment with the largest libraries
# README also starts a balancer, which would run until it is stopped; in the test it must exit because its
# configuration can't be used.
BALANCER = ("python", "-m", "honeywood")
NAMED_COMMAND = re.compile(r"(?:^ {4}|[`/])((?:honeywood(?= )|python -m honeywood\b)[^`#\n]*)", re.MULTILINE)
OPTION = re.compile(r" -[^-m].*| --(?!help).*")  # a command's options and their values
EXAMPLE_CONFIGURATION = re.compile(r'^ {4}\{"listen".*?^(?=\S)', re.MULTILINE | re.DOTALL)


@dataclass(frozen=True, slots=True)
class Installation:
    """A clean virtual environment, and a folder next to it in which commands are run."""

    path: Path
    folder: Path

    @classmethod
    def create(cls, path):
        """Creates the environment, without pip."""
        run_checked(sys.executable, "-m", "venv", "--without-pip", str(path))
        folder = path.with_name(f"{path.name}-folder")
        folder.mkdir()
        (folder / CONFIGURATION).write_text(example_configuration())
        return cls(path, folder)

    def install(self, wheel, *extras):
        """Installs the wheel with these extras, with the pip of the environment that runs the tests."""
        self.install_requirements(f"{wheel}[{','.join(extras)}]" if extras else str(wheel))

    def install_requirements(self, *requirements):
        """Installs those of the requirements that are not installed yet."""
        pip = (sys.executable, "-m", "pip", "--python", str(self.path / "bin" / "python"), "install")
        run_checked(*pip, *PIP_OPTIONS, "--no-compile", *requirements, cwd=self.folder)

    def run(self, program, *arguments):
        """Runs a program of this environment in its folder to its end, without the checkout on the path."""
        command = [str(self.path / "bin" / program), *arguments]
        return run(*command, cwd=self.folder)

    def run_named(self, names):
        """Runs commands by their names in README, all at once; returns {name: finished run}."""
        with ThreadPoolExecutor(len(names)) as pool:
            return dict(zip(names, pool.map(lambda name: self.run(*COMMANDS[name]), names)))


def run(*command, **options):
    """Runs a command to its end, without input and without the checkout on Python's path.

    An editable install leaves its metadata in the checkout, where pip would find the package as installed.
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
    """Runs a command that must exit with status 0."""
    done = run(*command, **options)
    assert done.returncode == 0, f"{command}\n{done.stdout}\n{done.stderr}"


def build_wheel(folder):
    """Builds the wheel from a copy, which has no files of earlier builds, and returns its path."""
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
    """Returns the requirements of these extras of pyproject.toml, without the package itself."""
    declared = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["optional-dependencies"]
    requirements = [requirement for extra in extras for requirement in declared[extra]]
    references = [requirement for requirement in requirements if requirement.startswith("honeywood[")]
    nested = [extra for requirement in references for extra in requirement[len("honeywood[") : -1].split(",")]
    libraries = [requirement for requirement in requirements if requirement not in references]
    return libraries + (declared_libraries(nested) if nested else [])


def example_configuration():
    """Returns the example configuration in README."""
    (text,) = EXAMPLE_CONFIGURATION.findall((ROOT / "README.md").read_text())
    return json.dumps(json.loads(text))


def commands_in_readme():
    """Returns the commands that README names, without their options and values."""
    named = NAMED_COMMAND.findall((ROOT / "README.md").read_text())
    return {OPTION.sub("", command).strip() for command in named}


def assert_names_extras(done, extras):
    """Checks that a run ended with status 2 and one line of output that names these extras."""
    assert done.returncode == 2 and done.stderr.count("\n") == 1, done
    assert done.stderr.startswith("honeywood: ") and f"[{extras}]'" in done.stderr, done


def check_small_installation(folder, wheel):
    """Runs the commands that need no trace libraries; before, each missing extra must be named."""
    small = Installation.create(folder / "small")
    small.install(wheel.result())
    for program in (("honeywood",), ("python", "-m", "honeywood")):
        assert_names_extras(small.run(*program, "--help"), "cli")
    done = small.run(*BALANCER)
    assert done.returncode == 2 and "ROUTER_CONFIG" in done.stderr and done.stderr.count("\n") == 1, done
    small.install(wheel.result(), "cli")
    assert_names_extras(small.run("honeywood", "trace", "summary", "none"), "trace-tools")
    assert_names_extras(small.run("honeywood", "lab", "demo"), "operator,trace-tools")
    assert_names_extras(small.run("honeywood", "lab", "soak"), "system")
    assert_names_extras(small.run("honeywood", "lab", "emulator", "run"), "system")
    assert "trace-tools" in small.run("honeywood", "--help").stdout
    small.install(wheel.result(), "cli", "system")
    return small.run_named([name for name in COMMANDS if name not in NEEDS_TRACES])


def check_large_installation(folder, wheel):
    """Runs the commands that need the trace libraries, which are installed while the wheel is built."""
    large = Installation.create(folder / "large")
    large.install_requirements(*declared_libraries(TRACE_EXTRAS))
    large.install(wheel.result(), *TRACE_EXTRAS)
    return large.run_named(NEEDS_TRACES)


def test_commands_of_readme_run_from_a_wheel_in_another_folder(tmp_path):
    assert commands_in_readme() - {" ".join(BALANCER)} <= set(COMMANDS)
    with ThreadPoolExecutor(3) as pool:
        wheel = pool.submit(build_wheel, tmp_path)
        checks = (check_large_installation, check_small_installation)
        started = [pool.submit(check, tmp_path, wheel) for check in checks]
        runs = {name: done for check in started for name, done in check.result().items()}
    assert set(runs) == set(COMMANDS)
    for name, done in runs.items():
        assert done.returncode == 0 and "Traceback" not in done.stderr, (name, done)
