"""A settings file that changes while a program runs is read again."""

import asyncio
import os
import tempfile

from ward import test

from honeywood.gateway.configuration.settings import read_settings
from honeywood.gateway.proxy.program import Proxy
from honeywood.gateway.settings_file import SettingsFile
from honeywood.lab.emulator.boot import settings_text
from honeywood.lab.emulator.silent_log import SilentLog

GOOD = settings_text("n", seeds=["10.0.0.1:82"], ip="10.0.0.9")


@test("changed settings are reloaded: new seeds are added, and an invalid file changes nothing")
def _():
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "boot.toml")
        proxy = Proxy(read_settings(GOOD), log=SilentLog())
        proxy.settings_file = SettingsFile(path)
        for index, (text, controllers) in enumerate(
            (
                (GOOD, ["10.0.0.1"]),
                (GOOD.replace("0.0.1:82", "0.0.2:82"), ["10.0.0.1", "10.0.0.2"]),
                ("seeds = 1", None),
            )
        ):
            with open(path, "w") as file:
                file.write(text)
            os.utime(path, ns=(index + 1, index + 1))
            asyncio.run(proxy.reload_settings())
            assert proxy.peers.controllers == (controllers or ["10.0.0.1", "10.0.0.2"])
