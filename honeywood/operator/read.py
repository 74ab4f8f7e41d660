"""Reads an operator file: HCL, or what `honeywood check --compile` made of it, which needs no HCL library."""
import json

from honeywood.operator.rules import BadFile, Operator, checked, compiled, from_compiled

MOST = 1 << 20                 # bytes of an operator file


def read(path):
    """Operator of the file at `path`; raises BadFile, whose text names file, block and key."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(MOST + 1)
    except (OSError, UnicodeDecodeError) as wrong:
        raise BadFile(f"{path}: {wrong}") from None
    if len(text) > MOST:
        raise BadFile(f"{path}: over {MOST} bytes")
    if text.lstrip().startswith("{"):
        try:
            return Operator(from_compiled(json.loads(text), path))
        except (ValueError, RecursionError) as wrong:
            raise wrong if isinstance(wrong, BadFile) else BadFile(f"{path}: {wrong}") from None
    return Operator(checked(hcl(text, path), path))


def hcl(text, path):
    """{block: [its keys, ...]} of HCL. The library is imported here alone: it costs the front some 12 MB."""
    import hcl2
    from lark.exceptions import LarkError
    options = hcl2.SerializationOptions(with_comments=False, explicit_blocks=False, strip_string_quotes=True)
    try:
        return hcl2.loads(text + "\n", serialization_options=options)
    except LarkError as wrong:
        line = getattr(wrong, "line", None)
        where = f" line {line}, column {wrong.column}:" if isinstance(line, int) and line > 0 else ""
        raise BadFile(f"{path}:{where} not HCL: {str(wrong).splitlines()[0]}") from None
    except (ValueError, RecursionError) as wrong:
        raise BadFile(f"{path}: not HCL: {wrong}") from None


def write_compiled(operator, path):
    with open(path, "w", encoding="utf-8") as file:
        json.dump(compiled(operator.values), file, indent=1)
        file.write("\n")
