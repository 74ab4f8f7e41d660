"""Invalid settings files are rejected; errors name the key."""

from ward import each, test

from honeywood.gateway.configuration.settings import read_settings
from honeywood.gateway.errors import InvalidInput
from honeywood.lab.emulator.boot import settings_text

GOOD = settings_text("n", seeds=["10.0.0.1:82"], ip="10.0.0.9")


@test("settings with {old!r} replaced by {new!r} are rejected, and the error names {named}")
def _(
    old=each(
        "drain_s = 2\n",
        "[7000, 7010]",
        '"10.0.0.1:82"',
        "fresh = true",
        "machines = 1",
        "retry_slack = 64",
        '"10.0.0.1:82"',
        'ip = "10.0.0.9"',
        'ready = "10.0.0.9:81"',
    ),
    new=each(
        "",
        "[7010, 7000]",
        '"10.0.0.1"',
        'fresh = "yes"',
        "machines = -1",
        "retry_slack = nan",
        '"core.example:82"',
        'ip = "core.example"',
        'ready = "core.example:81"',
    ),
    named=each(
        "drain_s",
        "port_range",
        "10.0.0.1",
        "fresh",
        "machines",
        "retry_slack",
        "seeds",
        "settings: ip",
        "listen.ready",
    ),
):
    assert read_settings(GOOD).tolerated_failures == 1
    try:
        read_settings(GOOD.replace(old, new))
    except InvalidInput as error:
        assert named in str(error) and "settings" in str(error)
    else:
        raise AssertionError("it was accepted")


@test("unknown fields of settings are ignored")
def _():
    assert read_settings(GOOD + "\n[news]\nx = 1\n").node == "n"
