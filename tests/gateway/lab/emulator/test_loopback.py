"""The demonstration on loopback handles requests that are sent before the proxies listen."""

import asyncio
from pathlib import Path
from unittest.mock import patch

from ports import free_port
from ward import test

from honeywood.lab.emulator import loopback


@test("a request to a proxy that does not listen yet is counted as 'no connection'")
def _():
    async def results_of_one_request():
        system = loopback.LoopbackSystem(Path())
        request = asyncio.ensure_future(loopback._send_request(1))
        await asyncio.wait([request])
        system._on_result(request)
        return system._results

    with patch.multiple(loopback, PROXIES=["127.0.0.1"], HTTP_PORT=free_port()):
        assert asyncio.run(results_of_one_request()) == {"no connection": 1}
