"""The settings file of a process: read at startup, and again when it has changed."""

from __future__ import annotations

import os

from honeywood.gateway.configuration.settings import read_settings
from honeywood.gateway.errors import InvalidInput

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.configuration.settings import Settings

PATH_VARIABLE = "HONEYWOOD_NODE_FILE"
DEFAULT_PATH = "/etc/honeywood/boot.toml"
# Raised if the file cannot be read or is invalid.
READ_ERRORS = (OSError, UnicodeDecodeError, InvalidInput)


class SettingsFile:
    """A settings file, with its modification time as of the last read."""

    def __init__(self, path: str) -> None:
        """Create without reading the file."""
        self.path = path
        self._modified_at_ns: int | None = None

    @classmethod
    def from_environment(cls) -> SettingsFile:
        """Return the file that the environment variable names, or the default one."""
        return cls(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))

    def read(self) -> Settings:
        """Return the settings; raises one of READ_ERRORS."""
        self._modified_at_ns = os.stat(self.path).st_mtime_ns
        with open(self.path, encoding="utf-8") as file:
            return read_settings(file.read())

    def read_if_modified(self) -> Settings | None:
        """Return the settings, or None if unchanged since the last read; raises one of READ_ERRORS."""
        if os.stat(self.path).st_mtime_ns == self._modified_at_ns:
            return None
        return self.read()
