"""YAML documents with errors that name the path in the document and the line."""

import re
from typing import (
    Annotated,
    Any,
    NamedTuple,
    Required,
    get_args,
    get_origin,
    get_type_hints,
)

import msgspec
import yaml
from result import Err, Ok

_MSGSPEC_PATH = re.compile(r" - at `(?:key in )?(\$.*)`\Z")
_PATH_STEP = re.compile(r"\.([^.\[]+)|\[(\d+|\.\.\.)\]")


class Document(NamedTuple):
    """Decoded YAML with the line of each path, e.g. of ``$.routes[0].host``."""

    data: Any
    lines: dict[str, int]

    def line(self, path):
        """Return the line of a path, or of its closest known ancestor."""
        while path not in self.lines and path != "$":
            path = path[: max(path.rfind("."), path.rfind("["))] or "$"
        return self.lines.get(path, 1)


class Problem(NamedTuple):
    """An error at a path of a document."""

    path: str
    line: int
    reason: str

    def __str__(self):
        return f"line {self.line}: {self.path}: {self.reason}"


def read_document(text):
    """Parse a YAML text.

    Parameters
    ----------
    text : str

    Returns
    -------
    document : Result[Document, Problem]
        Duplicate keys are an error, because only the last one would be kept.
    """
    try:
        loader = yaml.SafeLoader(text)
        node = loader.get_single_node()
        if node is None:
            return Err(Problem("$", 1, "the document is empty"))
        lines = {}
        problem = _record_lines(
            loader, node, "$", node.start_mark.line + 1, lines, set()
        )
        if problem:
            return Err(problem)
        return Ok(Document(loader.construct_document(node), lines))
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        reason = " ".join(str(error.problem or error.context).split())
        return Err(Problem("$", mark.line + 1 if mark else 1, reason))
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return Err(Problem("$", 1, " ".join(str(error).split())))


def _record_lines(loader, node, path, line, lines, visited):
    """Record the lines of a node and its descendants; return a Problem or None."""
    lines[path] = line
    if id(node) in visited:
        # Nested aliases grow exponentially when they are expanded.
        return Problem(path, line, "aliases are not supported")
    visited.add(id(node))
    if isinstance(node, yaml.SequenceNode):
        for index, item in enumerate(node.value):
            item_line = item.start_mark.line + 1
            problem = _record_lines(
                loader, item, f"{path}[{index}]", item_line, lines, visited
            )
            if problem:
                return problem
    if isinstance(node, yaml.MappingNode):
        return _record_mapping_lines(loader, node, path, lines, visited)
    return None


def _record_mapping_lines(loader, node, path, lines, visited):
    names = set()
    for key, value in node.value:
        line = key.start_mark.line + 1
        if not isinstance(key, yaml.ScalarNode):
            return Problem(path, line, "expected a scalar as key")
        name = loader.construct_object(key)
        if not isinstance(name, str):
            return Problem(path, line, f"expected a key of type `str`, got {name!r}")
        if name in names:
            return Problem(f"{path}.{name}", line, "duplicate key")
        names.add(name)
        problem = _record_lines(loader, value, f"{path}.{name}", line, lines, visited)
        if problem:
            return problem
    return None


def convert_document(document, schema):
    """Validate the data of a document against a TypedDict.

    Parameters
    ----------
    document : Document
    schema : type
        A TypedDict with constraints as ``msgspec.Meta`` annotations.

    Returns
    -------
    data : Result[dict, Problem]
        Unknown keys are an error at every level.
    """
    unknown = _find_unknown_key(document.data, schema, "$")
    if unknown:
        return Err(Problem(unknown, document.line(unknown), "unknown key"))
    try:
        return Ok(msgspec.convert(document.data, schema))
    except msgspec.ValidationError as error:
        return Err(_parse_validation_error(document, schema, str(error)))


def _parse_validation_error(document, schema, message):
    match = _MSGSPEC_PATH.search(message)
    path = match.group(1) if match else "$"
    reason = _MSGSPEC_PATH.sub("", message)
    missing = re.search(r"missing required field `(.+)`", reason)
    if missing:
        path = f"{path}.{missing.group(1)}"
        reason = "missing"
    if "[...]" in path:
        path = _expand_path(document.data, schema, path)
    return Problem(path, document.line(path), reason[:1].lower() + reason[1:])


def _expand_path(data, schema, path):
    """Return the full path that msgspec abbreviates with ``[...]`` below a mapping."""
    known = path.split("[...]")[0]
    for step in _PATH_STEP.finditer(known):
        name = step.group(1)
        data = data[name] if name else data[int(step.group(2))]
        schema = _child_type(schema, name)
    value_type = _child_type(schema, None)
    for name, value in data.items():
        try:
            msgspec.convert({name: value}, dict[str, value_type])
        except msgspec.ValidationError as error:
            match = _MSGSPEC_PATH.search(str(error))
            rest = match.group(1).split("[...]", 1)[-1] if match else ""
            expanded = f"$.{name}{rest}"
            if "[...]" in rest:
                expanded = f"$.{name}" + _expand_path(value, value_type, f"${rest}")[1:]
            return known + expanded[1:]
    return known


def _strip_annotations(schema):
    while get_origin(schema) in (Annotated, Required):
        schema = get_args(schema)[0]
    return schema


def _child_type(schema, name):
    """Return the type of a TypedDict's field, or of a container's values."""
    schema = _strip_annotations(schema)
    if name is not None and hasattr(schema, "__required_keys__"):
        return get_type_hints(schema, include_extras=True)[name]
    return get_args(schema)[-1]


def _find_unknown_key(data, schema, path):
    schema = _strip_annotations(schema)
    if hasattr(schema, "__required_keys__"):
        if not isinstance(data, dict):
            return None
        known = get_type_hints(schema, include_extras=True)
        for name, value in data.items():
            if name not in known:
                return f"{path}.{name}"
            unknown = _find_unknown_key(value, known[name], f"{path}.{name}")
            if unknown:
                return unknown
        return None
    items = ()
    if get_origin(schema) is dict and isinstance(data, dict):
        items = [(f"{path}.{name}", child) for name, child in data.items()]
    elif get_origin(schema) is list and isinstance(data, list):
        items = [(f"{path}[{index}]", child) for index, child in enumerate(data)]
    for child_path, child in items:
        unknown = _find_unknown_key(child, get_args(schema)[-1], child_path)
        if unknown:
            return unknown
    return None
