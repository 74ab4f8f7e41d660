"""Reads an operator file, either in HCL or as compiled by `honeywood check --compile`.

The compiled form is JSON and needs no HCL library.
"""

from __future__ import annotations

import json

from honeywood.operator.operator_file import (
    InvalidOperatorFile,
    OperatorFile,
    compiled,
    from_compiled,
    parse,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from os import PathLike
    from typing import Any

MAX_FILE_BYTES = 1 << 20


def read(path: str) -> OperatorFile:
    """Read and validate the operator file at `path`.

    Raises:
        InvalidOperatorFile: the file can't be used; the text names the file, the block and the key.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(MAX_FILE_BYTES + 1)
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidOperatorFile(f"{path}: {error}") from None
    if len(text) > MAX_FILE_BYTES:
        raise InvalidOperatorFile(f"{path}: larger than {MAX_FILE_BYTES} bytes")
    if not text.lstrip().startswith("{"):
        return parse(_parse_hcl(text, path), path)
    try:
        return from_compiled(json.loads(text), path)
    except InvalidOperatorFile:
        raise
    except (ValueError, RecursionError) as error:
        raise InvalidOperatorFile(f"{path}: {error}") from None


def write_compiled(operator: OperatorFile, path: str | PathLike[str]) -> None:
    """Write the compiled form to `path`."""
    with open(path, "w", encoding="utf-8") as file:
        json.dump(compiled(operator), file, indent=1)
        file.write("\n")


def _parse_hcl(text: str, path: str) -> dict[str, Any]:
    """Return the blocks of an HCL text as {block: [its keys, ...]}.

    The HCL library is imported only here, because it costs a balancer about 12 MB of memory.
    """
    import hcl2
    from lark.exceptions import LarkError

    options = hcl2.SerializationOptions(with_comments=False, explicit_blocks=False, strip_string_quotes=True)
    try:
        blocks: dict[str, Any] = hcl2.loads(text + "\n", serialization_options=options)
    except LarkError as error:
        line, column = getattr(error, "line", None), getattr(error, "column", None)
        where = f" line {line}, column {column}:" if isinstance(line, int) and line > 0 else ""
        raise InvalidOperatorFile(f"{path}:{where} not HCL: {str(error).splitlines()[0]}") from None
    except (ValueError, RecursionError) as error:
        raise InvalidOperatorFile(f"{path}: not HCL: {error}") from None
    return blocks
