"""Writes one carrier's export of traces; rules/anonymity.py says what may be in it."""

import os
import secrets
import stat

from honeywood.trace.cutting import write_all
from honeywood.trace.rules.anonymity import KEY_BYTES, BadKey, Export, hashed
from honeywood.trace.sources import sources

EXPORT_BLOCK = 4096  # records of a block: by the carrier's own count alone


def make_key(path):
    """A new key in a new file that only its owner can read."""
    file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    try:
        os.write(file, secrets.token_hex(KEY_BYTES).encode() + b"\n")
    finally:
        os.close(file)


def read_key(path):
    """The key in a file; raises BadKey where others than its owner may read that."""
    with open(path, "rb") as file:
        mode = os.fstat(file.fileno()).st_mode
        if not stat.S_ISREG(mode) or mode & 0o077:
            raise BadKey(f"{path}: others may read it (mode {stat.S_IMODE(mode):04o}): chmod 600 it")
        text = file.read(4096).strip()
    try:
        return bytes.fromhex(text.decode("ascii"))
    except ValueError:
        raise BadKey(f"{path}: holds no key: hexadecimal digits are needed") from None


def export(reader, create, carrier, key, progress):
    """Writes what the carrier may have of a file to the Writer that create(about) makes. Returns (records,
    rules.anonymity.Export): what was written, and how many RPCs could be nobody's."""
    rules = Export(key, carrier, reader.kinds)
    given = (found for record in reader.records() if (found := rules.treated(record)))
    # RPCs are numbered anew in each export: its runs are its own, and never taken for another file's.
    writer = create(
        {
            "export": True,
            "sources": [
                {
                    "front": hashed(rules.key, "front", str(source.get("front"))),
                    "run": secrets.token_hex(8),
                    "export": True,
                }
                for source in sources(reader.about)
            ],
        }
    )
    count = write_all(writer, given, progress, EXPORT_BLOCK)
    writer.close()
    return count, rules
