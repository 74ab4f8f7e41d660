"""Operators' calls that read and replace the configuration."""

from __future__ import annotations

from typing import NamedTuple

from honeywood.gateway.configuration import config, versions
from honeywood.gateway.controller.call import CallName
from honeywood.gateway.controller.record_keys import CONFIGURATION_KEY
from honeywood.gateway.errors import NotFound, VersionConflict

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.controller.register_access import RegisterAccess
    from honeywood.gateway.event_log import EventLog


class ReplaceResult(NamedTuple):
    """What an order came to, and the version that is in force after it."""

    outcome: str
    version: int


class ConfigurationOrders:
    """The configuration of this system as operators see it."""

    def __init__(self, register: RegisterAccess, log: EventLog) -> None:
        """Read and change the configuration by `register`."""
        self.register, self.log = register, log

    async def read(self, peer: str) -> str:
        """Return the newest configuration, packed; raises NotFound where a majority holds none."""
        held = await self.register.read(CallName.READ_CONFIGURATION, CONFIGURATION_KEY, peer)
        if held is None:
            raise NotFound(CallName.READ_CONFIGURATION, "none yet", peer)
        return held["text"]

    async def replace(self, version: int, raw: bytes, peer: str) -> ReplaceResult:
        """Order a configuration, `raw` as it came; VersionConflict for a number with another content."""
        digest = versions.digest(raw)
        outcome, held = await self._recorded_outcome(version, digest, peer)
        if outcome is None:
            held = await self._change(version, raw, digest, peer)
            outcome = versions.outcome(held, version, digest)
        if outcome != versions.TAKEN:
            self.log.info(outcome, ordered=f"{version:08x}", held=f"{held['ver']:08x}", digest=digest)
        if outcome == versions.OTHER:
            reason = f"{version:08x} stands for another content; take a higher one"
            raise VersionConflict(CallName.REPLACE_CONFIGURATION, reason, peer)
        return ReplaceResult(outcome, held["ver"])

    async def _recorded_outcome(self, version: int, digest: str, peer: str) -> tuple[str | None, object]:
        """Return what the order has come to before, and the record that says so.

        Only a number up to the published one is looked up: it is likely a repeated order, and a read costs
        less than a change.
        """
        published = self.register.publication.configuration_version
        if published is None or published < version:
            return None, None
        held = await self.register.read(CallName.REPLACE_CONFIGURATION, CONFIGURATION_KEY, peer)
        return versions.outcome(held, version, digest), held

    async def _change(self, version: int, raw: bytes, digest: str, peer: str) -> object:
        """Return the record that a majority holds after the order."""
        text = config.pack(raw)

        def update(held: object) -> object:
            return versions.ordered(held, version, text, digest)

        return await self.register.change(CallName.REPLACE_CONFIGURATION, CONFIGURATION_KEY, update, peer)
