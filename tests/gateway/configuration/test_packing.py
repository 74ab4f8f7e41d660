"""The compressed text in which configurations are stored."""

import json

from timeline import config
from ward import test

from honeywood.gateway.configuration.packing import pack, unpack
from honeywood.gateway.errors import InvalidInput


@test("a packed configuration comes back as sent, is short, and one that isn't whole is refused")
def _():
    # Seen on the grown sites: 1,000 routes went as 290 KB of text over links that carry 300 KB a second.
    raw = json.dumps(config(7, routes=1400), separators=(",", ":")).encode()
    packed = pack(raw)
    assert unpack(packed) == raw and len(packed) < len(raw) / 8
    assert unpack(raw.decode()) == raw, "disks of before packing are read"
    for part in (packed[: len(packed) // 2 & ~3], packed[:-5], packed[4:], "%", ""):
        try:
            unpack(part, "peer")
        except InvalidInput as wrong:
            assert "not whole" in str(wrong)
        else:
            raise AssertionError(f"{len(part)} of {len(packed)} were taken")
