"""What a loss of power leaves of files: each as of its last sync, or with later writes there, or torn."""

import os

BLOCK = 512  # bytes that are written whole or not at all, or not even that
KEPT, GONE, MIXED = "all kept", "all gone", "mixed"  # what becomes of writes that were not synced


class Platter:
    """What is sure to outlive a loss of power: files as of their last syncs, and the names that are sure."""

    def __init__(self):
        self.files, self.names = {}, set()

    def content(self, folder):
        """The files of a folder as they are, by name."""
        if not os.path.isdir(folder):
            return {}
        return {name: open(os.path.join(folder, name), "rb").read() for name in os.listdir(folder)}

    def power(self, folder, draw, how):
        """Leaves the folder as a loss of power leaves it."""
        now = self.content(folder)
        for name in sorted({*now, *self.files}):
            path, synced = os.path.join(folder, name), self.files.get(name)
            left = survives(synced, now.get(name), draw, how)
            lost = how == GONE or how == MIXED and draw.random() < 0.5
            if name not in self.names and (lost or name not in now):
                left = None  # made, and its folder not synced; or made and removed so
            if left is not None:
                with open(path, "wb") as file:
                    file.write(left)
            elif os.path.exists(path):
                os.unlink(path)
        self.files = self.content(folder)
        self.names = set(self.files)


def survives(synced, now, draw, how):
    """What is left of a file whose last sync left `synced` and which holds `now`; None: no such file."""
    if how == GONE or synced == now:
        return synced
    if now is None:
        return synced if how == MIXED and draw.random() < 0.5 else None
    if how == KEPT:
        return now
    if synced is None and draw.random() < 0.3:
        return None
    before, length = (
        synced or b"",
        draw.choice((len(synced or b""), len(now), max(len(synced or b""), len(now)))),
    )
    found = bytearray(before.ljust(length, b"\0")[:length])
    for at in range(0, length, BLOCK):
        keep = draw.choice((0, BLOCK, BLOCK, draw.randrange(BLOCK)))
        piece = now[at : at + keep]
        found[at : at + len(piece)] = piece
    return bytes(found[:length])
