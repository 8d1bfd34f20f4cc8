"""Output of the commands: JSON for scripts, tables and diffs for people."""

import difflib

import msgspec


def print_json(content):
    """Print a value as one line of JSON."""
    print(msgspec.json.encode(content).decode())


def print_table(rows):
    """Print rows of strings in aligned columns."""
    widths = [max(map(len, column)) for column in zip(*rows)]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths))
        print("  ".join(cells).rstrip())


def difference(old, old_name, new, new_name):
    """Return the unified diff of two texts, ``""`` if they are equal."""
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), old_name, new_name, lineterm=""
    )
    return "\n".join(lines)
