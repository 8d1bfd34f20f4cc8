"""``jujuberudderctl check``: checks a section file without publishing it."""

import re
from pathlib import Path

from jujuberudder_core import UserError, parse_section

from ._exits import EXIT_INVALID_INPUT
from ._output import print_json

BASE_LINE_PATTERN = re.compile(r"# ([a-z0-9-]+) version (\d+)\n")


def check(section: str, *, json: bool = False):
    """Check a section file against the schema; no other input is read.

    Collisions of its routes with other sections are checked by publish.

    Parameters
    ----------
    section : str
        Path of the YAML file.
    json : bool
        Print the section as JSON with its defaults filled in.
    """
    _, _, body, _ = read_section(section)
    if json:
        print_json(body)
    else:
        print(f"{section}: ok")


def read_section(path):
    """Return ``(name, text, body, base)`` of a section file.

    ``base`` is the version in a first line such as ``# jobs version 7``, as printed by
    ``show``, else None. That line is not part of ``text``.

    Raises
    ------
    UserError
        If the file cannot be read or does not match the schema.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise UserError(f"{path}: {error.strerror}", EXIT_INVALID_INPUT) from error
    except UnicodeDecodeError as error:
        raise UserError(f"{path}: expected UTF-8 text", EXIT_INVALID_INPUT) from error
    parsed = parse_section(text, path)
    if parsed.is_err():
        raise UserError(f"{path}: {parsed.err_value.reason}", EXIT_INVALID_INPUT)
    name = parsed.ok_value["service"]
    header = BASE_LINE_PATTERN.match(text)
    if header is None:
        return name, text, parsed.ok_value, None
    if header.group(1) != name:
        reason = f"line 1: expected `# {name} version N`, got {header.group(0).strip()}"
        raise UserError(f"{path}: {reason}", EXIT_INVALID_INPUT)
    return name, text[header.end() :], parsed.ok_value, int(header.group(2))
