import asyncio

from honeywood.system.bourse.program import Bourse

asyncio.run(Bourse().run())
