"""The operator file: reading, validation and defaults; errors name the file, the block and the key."""

import json
import os
import subprocess
import sys

import pytest

from honeywood.operator.operator_file import InvalidOperatorFile
from honeywood.operator.reader import read, write_compiled

GOOD = 'trace {\n  folder = "/var/trace"\n  block_age = "250ms"\n  most_bytes = "1.5GB"\n}\n'


def write(tmp_path, text):
    path = tmp_path / "operator.hcl"
    path.write_text(text)
    return str(path)


def test_units_and_defaults(tmp_path):
    block = read(write(tmp_path, GOOD)).trace
    assert (block.folder, block.block_age, block.most_bytes) == ("/var/trace", 2500, 1_500_000_000)
    assert block.file_age == 36_000_000 and block.sync == "file"
    assert read(write(tmp_path, "# no block\n")).trace is None


@pytest.mark.parametrize(
    "text, message",
    [
        ('trace {\n foldr = "/x"\n}', "trace: foldr: unknown key; the closest known is 'folder'"),
        ("trcae {\n}", "trcae: unknown block; the closest known is 'trace'"),
        ("trace {\n}", "trace: folder: missing"),
        ('trace {\n folder = "x"\n most_bytes = "1"\n}', "trace: most_bytes: is not a size"),
        (
            'trace {\n folder = "x"\n most_bytes = "1KB"\n}',
            "trace: most_bytes: is '1KB', below the minimum of 1MB",
        ),
        ('trace {\n folder = "x"\n block_age = "5 fortnights"\n}', "trace: block_age: is not a time"),
        ('trace {\n folder = "x"\n sync = "always"\n}', "trace: sync: is 'always', not one of never, file"),
        ("trace {\n folder = 3\n}", "trace: folder: is 3, not a non-empty string"),
        ('trace {\n folder = "x"\n queue = true\n}', "trace: queue: is True, not a whole number"),
        ('trace {\n folder = "x"\n parcel_fields = ["A b"]\n}', "trace: parcel_fields: is"),
        ("trace = 3", "trace: is a value, not a block"),
        ('trace {\n folder = "a"\n}\ntrace {\n folder = "b"\n}', "trace: appears 2 times"),
        ("trace {\n folder = \n}", "line 2, column 11: not HCL"),
        ("{}", "not compiled by this version: compile it again"),
        ("{", "operator.hcl: Expecting"),
    ],
)
def test_an_error_names_the_file_the_block_and_the_key(tmp_path, text, message):
    """If a misspelt bound were ignored, nobody would notice before the bound is needed."""
    with pytest.raises(InvalidOperatorFile) as raised:
        read(write(tmp_path, text))
    assert message.replace("not compiled by this", "compiled by another") in str(raised.value)
    assert str(raised.value).startswith(str(tmp_path))


def test_compiled_form_needs_no_hcl(tmp_path):
    out = str(tmp_path / "compiled.json")
    write_compiled(read(write(tmp_path, GOOD)), out)
    code = (
        "import sys; sys.modules['hcl2'] = None; from honeywood.operator.reader import read; "
        f"print(read({out!r}).trace.block_age)"
    )
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout == "2500\n"
    raw = json.loads((tmp_path / "compiled.json").read_text())
    raw["blocks"]["trace"]["later"] = 1
    with pytest.raises(InvalidOperatorFile, match="trace: compiled by another version"):
        read(write(tmp_path, json.dumps(raw)))


def run(*words, **environ):
    return subprocess.run(
        [sys.executable, "-m", "honeywood", *words],
        capture_output=True,
        text=True,
        env={**os.environ, **environ},
        timeout=60,
    )


def test_operator_files_under_deploy_are_valid(pytestconfig):
    for path in (pytestconfig.rootpath / "deploy").glob("*.hcl"):
        assert read(path).trace, path


def test_check_and_version(tmp_path):
    done = run("check", "--operator", write(tmp_path, GOOD), "--compile", str(tmp_path / "c"))
    assert done.returncode == 0 and (tmp_path / "c").exists()
    done = run("check", "--operator", write(tmp_path, "trcae {}\n"), ROUTER_CONFIG=str(tmp_path / "none"))
    assert done.returncode == 2 and done.stderr.count("\n") == 2 and "closest known is 'trace'" in done.stderr
    assert "trace files 1." in run("version").stdout
    done = run("serve", "--config", str(tmp_path / "none"))
    assert done.returncode == 2 and "none" in done.stderr


def test_a_balancer_imports_no_subsystem_that_is_off(tmp_path):
    """A balancer has 32 MB of memory, so it loads only the subsystems that the operator file switches on, and
    their libraries."""
    code = (
        "import sys, honeywood.balancer.program.main; print([name for name in sys.modules if "
        "name.startswith(("
        "'honeywood.trace', 'honeywood.operator', 'honeywood.cli', 'honeywood.lab', 'click', 'hcl2',"
        " 'numpy', 'msgpack', 'xxhash', 'zstandard', 'matplotlib', 'honeywood.standins'))])"
    )

    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout == "[]\n"
    code = (
        "import sys; from honeywood.trace import call_recorder, recorder; print([name for name in "
        "sys.modules if name.startswith(('numpy', 'click', 'matplotlib', 'hcl2'))])"
    )
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout == "[]\n"
