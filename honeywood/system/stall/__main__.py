import asyncio

from honeywood.system.stall.program import Stall

asyncio.run(Stall().run())
