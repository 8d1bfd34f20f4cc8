"""The operator documentation and the examples match the code."""

import re
from pathlib import Path
from typing import get_type_hints

import pytest
import yaml

from jujuberudder_core import (
    DEFAULTS,
    INSTRUMENTS,
    SectionBody,
    Settings,
    load_settings,
    parse_section,
)

ROOT = Path(__file__).parent.parent
CONFIGURATION_PAGE = (ROOT / "docs/configuration.md").read_text(encoding="utf-8")
EXAMPLES = re.findall(r"```yaml\n(.*?)```", CONFIGURATION_PAGE, re.DOTALL)
SECTION_FILES = sorted(ROOT.glob("examples/*/sections/*.yaml"))
SETTINGS_FILES = sorted(ROOT.glob("examples/*/*.yaml"))


def table_rows(page):
    """Return the other cells of each table row by its first cell."""
    rows = re.findall(r"^\| `([^`]+)` \| (.*) \|$", page, re.MULTILINE)
    return {name: rest.split(" | ") for name, rest in rows}


@pytest.mark.parametrize("text", EXAMPLES)
def test_examples_in_the_page_follow_the_schema(text):
    """Guards against examples in the page that ``publish`` refuses."""
    assert parse_section(text).is_ok(), parse_section(text)


@pytest.mark.parametrize("path", SECTION_FILES, ids=str)
def test_example_sections_follow_the_schema(path):
    """Guards against example deployments that cannot be published."""
    body = parse_section(path.read_text(encoding="utf-8"), path).unwrap()
    assert body["service"] == path.stem


@pytest.mark.parametrize("path", SETTINGS_FILES, ids=str)
def test_example_settings_follow_the_schema(path):
    """Guards against example deployments that cannot be started."""
    assert load_settings(path).node == path.stem


def test_page_lists_every_key_with_its_default():
    """Guards against a key that the page omits, or whose default it misstates."""
    rows = table_rows(CONFIGURATION_PAGE)
    for name in get_type_hints(SectionBody):
        if name != "dashboards":
            assert name in rows, name
        default = DEFAULTS.get(name)
        if name not in ("service", "routes", "placement_weights") and name in DEFAULTS:
            documented = rows[name][1].strip("`")
            assert yaml.safe_load(documented) == default, name
    for name in Settings._fields:
        if name != "target":
            assert name in rows, name


def test_page_lists_no_unknown_key():
    """Guards against a page that describes a key which ``check`` refuses."""
    known = {*get_type_hints(SectionBody), *Settings._fields}
    assert {name.split(".")[0] for name in table_rows(CONFIGURATION_PAGE)} <= known


def test_page_lists_every_metric_with_its_question():
    """Guards against a page that lacks a metric or describes a removed one."""
    page = (ROOT / "docs/dashboards.md").read_text(encoding="utf-8")
    rows = {n: cells for n, cells in table_rows(page).items() if n.startswith("jujube")}
    assert set(rows) == {instrument.name for instrument in INSTRUMENTS}
    for instrument in INSTRUMENTS:
        labels = ", ".join(f"`{label}`" for label in instrument.labels) or "-"
        assert rows[instrument.name] == [
            instrument.kind,
            labels,
            instrument.question,
        ], instrument.name
