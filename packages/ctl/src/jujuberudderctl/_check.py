"""``jujuberudderctl check``: checks a section file without publishing it."""

from pathlib import Path

from jujuberudder_core import UserError, parse_section


def check(section: str):
    """Check a section file against the schema.

    Parameters
    ----------
    section : str
        Path of the YAML file.
    """
    read_section(section)
    print(f"{section}: ok")


def read_section(path):
    """Return ``(name, text, body)`` of a section file.

    Raises
    ------
    UserError
        If it cannot be read or fails the schema.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise UserError(f"{path}: {error.strerror}") from error
    parsed = parse_section(text, path)
    if parsed.is_err():
        raise UserError(f"{path}: {parsed.err_value.reason}")
    return parsed.ok_value["service"], text, parsed.ok_value
