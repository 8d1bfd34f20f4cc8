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
    found = re.findall(r"^\| `([^`]+)` \| (.*) \|$", page, re.MULTILINE)
    return {name: rest.split(" | ") for name, rest in found}


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
    """Guards against a key or default that is missing or wrong in the page."""
    found = table_rows(CONFIGURATION_PAGE)
    for name in get_type_hints(SectionBody):
        if name != "dashboards":
            assert name in found, name
        default = DEFAULTS.get(name)
        if name not in ("service", "routes", "placement_weights") and name in DEFAULTS:
            shown = found[name][1].strip("`")
            assert yaml.safe_load(shown) == default, name
    for name in Settings._fields:
        if name != "target":
            assert name in found, name


def test_page_lists_no_unknown_key():
    """Guards against a page that describes a key which ``check`` refuses."""
    known = {*get_type_hints(SectionBody), *Settings._fields}
    assert {name.split(".")[0] for name in table_rows(CONFIGURATION_PAGE)} <= known


def test_page_lists_every_metric_with_its_question():
    """Guards against a page that lacks a metric or describes a removed one."""
    page = (ROOT / "docs/dashboards.md").read_text(encoding="utf-8")
    found = {
        n: cells for n, cells in table_rows(page).items() if n.startswith("jujube")
    }
    assert set(found) == {instrument.name for instrument in INSTRUMENTS}
    for instrument in INSTRUMENTS:
        labels = ", ".join(f"`{label}`" for label in instrument.labels) or "-"
        assert found[instrument.name] == [
            instrument.kind,
            labels,
            instrument.question,
        ], instrument.name
