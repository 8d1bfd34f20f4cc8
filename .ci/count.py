"""Prints the numbers of passed and failed tests in all JUnit files below a folder."""

import sys
import xml.etree.ElementTree as ET
from pathlib import Path

passed = failed = 0
for path in Path(sys.argv[1]).rglob("*.xml"):
    for suite in ET.parse(path).getroot().iter("testsuite"):
        bad = int(suite.get("failures", 0)) + int(suite.get("errors", 0))
        skipped = int(suite.get("skipped", 0))
        failed += bad
        passed += int(suite.get("tests", 0)) - bad - skipped
print(passed, failed)
