"""The configuration as the register keeps it, and what an order for one comes to. Pure.

{"ver", "text", "past"}: `past` lists [version, digest] of the orders before, those with the MOST highest
numbers. A number stands for one content: the first that a majority noted, in force or overtaken. So of two
contents under one number one is confirmed, and a copy of an order is known however often it comes.
"""

from _blake2 import blake2b  # hashlib would bring OpenSSL

MOST = 128  # numbers remembered; lower ones are acknowledged as overtaken, whatever their content
TAKEN, OVERTAKEN, OTHER = "taken", "overtaken", "other content"


def digest(text):
    return blake2b(text.encode(), digest_size=8).hexdigest()


def outcome(held, version, text):
    """What the order has come to where `held` stands: TAKEN holds, OVERTAKEN is below what holds and changes
    nothing, OTHER says that its number stands for another content; None: nobody has noted it yet."""
    if held is None or version > held["ver"]:
        return None
    past = dict(held["past"])
    noted = digest(held["text"]) if version == held["ver"] else past.get(version)
    if noted is None:
        return OVERTAKEN if len(past) >= MOST and version < min(past) else None
    if noted != digest(text):
        return OTHER
    return TAKEN if version == held["ver"] else OVERTAKEN


def ordered(held, version, text):
    """The record after an order; the same where it was noted before."""
    if held is None:
        return {"ver": version, "text": text, "past": []}
    if outcome(held, version, text) is not None:
        return held
    if version < held["ver"]:
        return {**held, "past": _kept(held["past"], version, text)}
    return {"ver": version, "text": text, "past": _kept(held["past"], held["ver"], held["text"])}


def _kept(past, version, text):
    return sorted([*past, [version, digest(text)]])[-MOST:]
