"""YAML documents whose errors name the path in the document and the line."""

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

_PATH = re.compile(r" - at `(?:key in )?(\$.*)`\Z")
_STEP = re.compile(r"\.([^.\[]+)|\[(\d+|\.\.\.)\]")


class Document(NamedTuple):
    """Decoded YAML and the line of each path, e.g. ``$.routes[0].host``."""

    data: Any
    lines: dict[str, int]

    def line(self, path):
        """Return the line of a path, or of the closest one above it."""
        while path not in self.lines and path != "$":
            path = path[: max(path.rfind("."), path.rfind("["))] or "$"
        return self.lines.get(path, 1)


class Problem(NamedTuple):
    """What is wrong at a path of a document."""

    path: str
    line: int
    reason: str

    def __str__(self):
        return f"line {self.line}: {self.path}: {self.reason}"


def read_document(text):
    """Return the document in a YAML text.

    Parameters
    ----------
    text : str

    Returns
    -------
    document : Result[Document, Problem]
        Duplicate keys are refused, because all but the last one would be lost.
    """
    try:
        loader = yaml.SafeLoader(text)
        node = loader.get_single_node()
        if node is None:
            return Err(Problem("$", 1, "the document is empty"))
        lines = {}
        problem = _mark(loader, node, "$", node.start_mark.line + 1, lines, set())
        if problem:
            return Err(problem)
        return Ok(Document(loader.construct_document(node), lines))
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        reason = " ".join(str(error.problem or error.context).split())
        return Err(Problem("$", mark.line + 1 if mark else 1, reason))
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return Err(Problem("$", 1, " ".join(str(error).split())))


def _mark(loader, node, path, line, lines, nodes):
    """Note the lines of a node and all below it; return a Problem or None."""
    lines[path] = line
    if id(node) in nodes:
        # Nested aliases grow exponentially when they are expanded.
        return Problem(path, line, "aliases are not supported")
    nodes.add(id(node))
    if isinstance(node, yaml.SequenceNode):
        for index, item in enumerate(node.value):
            item_line = item.start_mark.line + 1
            problem = _mark(loader, item, f"{path}[{index}]", item_line, lines, nodes)
            if problem:
                return problem
    if isinstance(node, yaml.MappingNode):
        return _mark_mapping(loader, node, path, lines, nodes)
    return None


def _mark_mapping(loader, node, path, lines, nodes):
    seen = set()
    for key, value in node.value:
        line = key.start_mark.line + 1
        if not isinstance(key, yaml.ScalarNode):
            return Problem(path, line, "expected a scalar as key")
        name = loader.construct_object(key)
        if not isinstance(name, str):
            return Problem(path, line, f"expected a key of type `str`, got {name!r}")
        if name in seen:
            return Problem(f"{path}.{name}", line, "duplicate key")
        seen.add(name)
        problem = _mark(loader, value, f"{path}.{name}", line, lines, nodes)
        if problem:
            return problem
    return None


def convert_document(document, schema):
    """Return the data of a document as a TypedDict.

    Parameters
    ----------
    document : Document
    schema : type
        A TypedDict; constraints are ``msgspec.Meta`` annotations.

    Returns
    -------
    data : Result[dict, Problem]
        Unknown keys are refused at every level.
    """
    unknown = _unknown_key(document.data, schema, "$")
    if unknown:
        return Err(Problem(unknown, document.line(unknown), "unknown key"))
    try:
        return Ok(msgspec.convert(document.data, schema))
    except msgspec.ValidationError as error:
        return Err(_problem(document, schema, str(error)))


def _problem(document, schema, message):
    match = _PATH.search(message)
    path = match.group(1) if match else "$"
    reason = _PATH.sub("", message)
    missing = re.search(r"missing required field `(.+)`", reason)
    if missing:
        path = f"{path}.{missing.group(1)}"
        reason = "missing"
    if "[...]" in path:
        path = _culprit(document.data, schema, path)
    return Problem(path, document.line(path), reason[:1].lower() + reason[1:])


def _culprit(data, schema, path):
    """Return the path that msgspec abbreviates as ``[...]`` below a mapping."""
    known = path.split("[...]")[0]
    for step in _STEP.finditer(known):
        name = step.group(1)
        data = data[name] if name else data[int(step.group(2))]
        schema = _below(schema, name)
    value_type = _below(schema, None)
    for name, value in data.items():
        try:
            msgspec.convert({name: value}, dict[str, value_type])
        except msgspec.ValidationError as error:
            match = _PATH.search(str(error))
            rest = match.group(1).split("[...]", 1)[-1] if match else ""
            found = f"$.{name}{rest}"
            if "[...]" in rest:
                found = f"$.{name}" + _culprit(value, value_type, f"${rest}")[1:]
            return known + found[1:]
    return known


def _plain(schema):
    while get_origin(schema) in (Annotated, Required):
        schema = get_args(schema)[0]
    return schema


def _below(schema, name):
    """Return the type of a field of a TypedDict, or of the values of a container."""
    schema = _plain(schema)
    if name is not None and hasattr(schema, "__required_keys__"):
        return get_type_hints(schema, include_extras=True)[name]
    return get_args(schema)[-1]


def _unknown_key(data, schema, path):
    schema = _plain(schema)
    if hasattr(schema, "__required_keys__"):
        if not isinstance(data, dict):
            return None
        known = get_type_hints(schema, include_extras=True)
        for name, value in data.items():
            if name not in known:
                return f"{path}.{name}"
            found = _unknown_key(value, known[name], f"{path}.{name}")
            if found:
                return found
        return None
    items = ()
    if get_origin(schema) is dict and isinstance(data, dict):
        items = [(f"{path}.{name}", value) for name, value in data.items()]
    elif get_origin(schema) is list and isinstance(data, list):
        items = [(f"{path}[{index}]", value) for index, value in enumerate(data)]
    for name, value in items:
        found = _unknown_key(value, get_args(schema)[-1], name)
        if found:
            return found
    return None
