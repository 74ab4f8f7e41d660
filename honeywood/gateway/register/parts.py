"""Long answers in parts, so that none is longer than a slow link carries in one step's time. Pure.

Who asks says what it has of an answer, and is told what comes next of that same answer: to whoever asks, all
parts together are one answer that was long on its way. Each part is checked by its sum, the whole by its
mark. An answer that is no longer kept, or was never begun, begins anew.
"""

import json
import zlib
from _blake2 import blake2b  # hashlib would bring OpenSSL
from dataclasses import dataclass

from honeywood.gateway.register.fields import Fields

PART = 1 << 14  # characters of a part; 30,000 B/s carry it in 0.55 s, less than a step has
OPEN = 8  # answers that are kept to be gone on with; of more, the oldest goes
KEPT = 10.0  # seconds for which one is kept after it was begun


def _mark(text):
    return blake2b(text.encode(), digest_size=16).hexdigest()


@dataclass(frozen=True, slots=True)
class AnswerPart:
    """The characters `part` of an answer, from `at` on, of `of` in all; `mark` is the hash of the whole."""

    part: str
    at: int
    of: int
    mark: str
    sum: int

    @classmethod
    def cut(cls, mark, text, at):
        """The part of a text from `at` on."""
        part = text[at : at + PART]
        return cls(part, at, len(text), mark, zlib.crc32(part.encode()))

    @property
    def sound(self):
        """Whether the part is as it was cut."""
        return zlib.crc32(self.part.encode()) == self.sum

    def encode(self):
        """As JSON."""
        return {"part": self.part, "at": self.at, "of": self.of, "mark": self.mark, "sum": self.sum}

    @classmethod
    def decode(cls, fields):
        """The part in fields of a message."""
        place = fields.take("at", int, least=0), fields.take("of", int, least=0)
        return cls(fields.take("part", str), *place, fields.take("mark", str), fields.take("sum", int))


class PartSender:
    """Answers that are being told."""

    def __init__(self):
        self.open = {}

    def go_on(self, now, question, have):
        """The next part of what the one who asks `question` has begun to hear, or None. `have` is [mark,
        characters], or empty."""
        begun, marked, text = self.open.get(question, (0.0, None, ""))
        if not have or have[0] != marked or now - begun > KEPT:
            return None
        return AnswerPart.cut(marked, text, have[1]).encode()

    def begin(self, now, question, answer):
        """The answer, or where it is long its first part."""
        text = json.dumps(answer, separators=(",", ":"))
        if len(text) <= PART:
            return answer
        self.open.pop(question, None)
        marked = _mark(text)
        self.open[question] = now, marked, text
        while len(self.open) > OPEN:
            del self.open[next(iter(self.open))]
        return AnswerPart.cut(marked, text, 0).encode()


class PartReceiver:
    """Answers that are being heard, each by its question."""

    def __init__(self):
        self.open = {}

    def have(self, question):
        """What is said when asking: [mark, characters], or nothing yet."""
        marked, text = self.open.get(question, (None, ""))
        return [marked, len(text)] if marked else []

    def take(self, question, answer, peer=""):
        """Takes an answer or a part of one: the whole answer once it is there, else None. Raises
        InvalidMessage where it is neither. A part that is damaged or doesn't go on where the last one ended
        changes nothing, a first one begins anew."""
        if "part" not in answer:
            self.open.pop(question, None)
            return answer
        marked, text = self.open.get(question, (None, ""))
        part = AnswerPart.decode(Fields(answer, "part of an answer", peer))
        if not part.sound:
            return None
        if part.at == 0:
            text = ""
        elif part.mark != marked or part.at != len(text):
            return None
        text += part.part
        self.open[question] = part.mark, text
        while len(self.open) > OPEN:
            del self.open[next(iter(self.open))]
        if len(text) < part.of:
            return None
        del self.open[question]
        return json.loads(text) if _mark(text) == part.mark else None
