"""The configuration as the register keeps it, and what an order for one comes to. Pure.

{"ver", "text", "digest", "past"}: the text is packed, the digest that of the bytes as they came; `past` lists
[version, digest] of the orders before, those with the MOST highest numbers. A number stands for one content:
the first that a majority noted, in force or overtaken. So of two contents under one number one is confirmed,
and a copy of an order is known however often it comes.
"""

from _blake2 import blake2b  # hashlib would bring OpenSSL

MOST = 128  # numbers remembered; lower ones are acknowledged as overtaken, whatever their content
TAKEN, OVERTAKEN, OTHER = "taken", "overtaken", "other content"


def digest(raw):
    """A content's hash, 64 bits, by which copies of an order are known."""
    return blake2b(raw, digest_size=8).hexdigest()


def outcome(held, version, mark):
    """What the order whose digest is `mark` has come to where `held` stands: TAKEN holds, OVERTAKEN is below
    what holds and changes nothing, OTHER says that its number stands for another content; None: nobody has
    noted it yet."""
    if held is None or version > held["ver"]:
        return None
    past = dict(held["past"])
    noted = held["digest"] if version == held["ver"] else past.get(version)
    if noted is None:
        return OVERTAKEN if len(past) >= MOST and version < min(past) else None
    if noted != mark:
        return OTHER
    return TAKEN if version == held["ver"] else OVERTAKEN


def ordered(held, version, text, mark):
    """The record after an order; the same where it was noted before."""
    first = {"ver": version, "text": text, "digest": mark}
    if held is None:
        return {**first, "past": []}
    if outcome(held, version, mark) is not None:
        return held
    if version < held["ver"]:
        return {**held, "past": _kept(held["past"], version, mark)}
    return {**first, "past": _kept(held["past"], held["ver"], held["digest"])}


def _kept(past, version, mark):
    return sorted([*past, [version, mark]])[-MOST:]
