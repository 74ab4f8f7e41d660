"""Writes one carrier's export of a trace; rules/anonymity.py defines what it may contain."""

import os
import secrets
import stat

from honeywood.trace.cutting import write_all
from honeywood.trace.rules.anonymity import KEY_BYTES, BadKey, CarrierExport, pseudonym
from honeywood.trace.sources import sources

EXPORT_BLOCK_RECORDS = 4096  # records in a block; blocks must not depend on the records of other carriers


def make_key(path):
    """Write a new random key to a new file that only its owner can read."""
    file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    try:
        os.write(file, secrets.token_hex(KEY_BYTES).encode() + b"\n")
    finally:
        os.close(file)


def read_key(path):
    """Return the key in a file; raises BadKey where others than its owner may read the file."""
    with open(path, "rb") as file:
        mode = os.fstat(file.fileno()).st_mode
        if not stat.S_ISREG(mode) or mode & 0o077:
            raise BadKey(f"{path}: others may read it (mode {stat.S_IMODE(mode):04o}): chmod 600 it")
        text = file.read(4096).strip()
    try:
        return bytes.fromhex(text.decode("ascii"))
    except ValueError:
        raise BadKey(f"{path}: not a key: hexadecimal digits are needed") from None


def export(reader, create, carrier, key, progress):
    """Write the carrier's export of a Reader's file to the Writer that `create(metadata)` returns.

    Returns:
        (count of written records, the rules.anonymity.CarrierExport, which counts the RPCs without customer).
    """
    rules = CarrierExport(key, carrier, reader.kinds)
    exported = (
        record_for_carrier for record in reader.records() if (record_for_carrier := rules.transform(record))
    )
    # Each export renumbers the RPCs, so its runs get new names: they never match another file's runs.
    writer = create(
        {
            "export": True,
            "sources": [
                {
                    "front": pseudonym(rules.key, "front", str(source.get("front"))),
                    "run": secrets.token_hex(8),
                    "export": True,
                }
                for source in sources(reader.metadata)
            ],
        }
    )
    count = write_all(writer, exported, progress, EXPORT_BLOCK_RECORDS)
    writer.close()
    return count, rules
