"""``jujuberudderctl check``: checks a section file without publishing it."""

import re
from pathlib import Path

from jujuberudder_core import UserError, parse_section

from ._exits import EXIT_MISTAKE
from ._output import print_json

BASE_LINE = re.compile(r"# ([a-z0-9-]+) version (\d+)\n")


def check(section: str, *, json: bool = False):
    """Check a section file against the schema; reads nothing but the file.

    Whether its routes collide with another section is checked by publish.

    Parameters
    ----------
    section : str
        Path of the YAML file.
    json : bool
        Print the section with its defaults filled in as JSON.
    """
    _, _, body, _ = read_section(section)
    if json:
        print_json(body)
    else:
        print(f"{section}: ok")


def read_section(path):
    """Return ``(name, text, body, base)`` of a section file.

    ``base`` is the version in a first line like ``# jobs version 7``, as ``show``
    prints it, else None. That line is no part of the text.

    Raises
    ------
    UserError
        If it cannot be read or fails the schema.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise UserError(f"{path}: {error.strerror}", EXIT_MISTAKE) from error
    except UnicodeDecodeError as error:
        raise UserError(f"{path}: expected UTF-8 text", EXIT_MISTAKE) from error
    parsed = parse_section(text, path)
    if parsed.is_err():
        raise UserError(f"{path}: {parsed.err_value.reason}", EXIT_MISTAKE)
    name = parsed.ok_value["service"]
    header = BASE_LINE.match(text)
    if header is None:
        return name, text, parsed.ok_value, None
    if header.group(1) != name:
        reason = f"line 1: expected `# {name} version N`, got {header.group(0).strip()}"
        raise UserError(f"{path}: {reason}", EXIT_MISTAKE)
    return name, text[header.end() :], parsed.ok_value, int(header.group(2))
