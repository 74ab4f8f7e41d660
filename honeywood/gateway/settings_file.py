"""The settings file of a process: read at its start, and again when it has changed."""

from __future__ import annotations

import os

from honeywood.gateway.configuration.settings import read_settings
from honeywood.gateway.errors import InvalidInput

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.configuration.settings import Settings

PATH_VARIABLE = "HONEYWOOD_NODE_FILE"
DEFAULT_PATH = "/etc/honeywood/boot.toml"
# What a file that can't be read or used raises.
FAILURES = (OSError, UnicodeDecodeError, InvalidInput)


class SettingsFile:
    """A file, and when it had been modified when it was read last."""

    def __init__(self, path: str) -> None:
        """Read nothing yet."""
        self.path = path
        self._modified_at_ns: int | None = None

    @classmethod
    def from_environment(cls) -> SettingsFile:
        """Return the file that the process's environment names."""
        return cls(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))

    def read(self) -> Settings:
        """Return the settings; raises one of FAILURES."""
        self._modified_at_ns = os.stat(self.path).st_mtime_ns
        with open(self.path, encoding="utf-8") as file:
            return read_settings(file.read())

    def read_if_modified(self) -> Settings | None:
        """Return the settings, or None where the file is as it was read last; raises one of FAILURES."""
        if os.stat(self.path).st_mtime_ns == self._modified_at_ns:
            return None
        return self.read()
