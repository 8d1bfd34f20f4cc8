"""Steps of ``publish.feature``, which run ``jujuberudderctl`` as a process."""

import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

VALID_SECTION = "service: jobs\nroutes: [{path_prefix: /jobs/}]\n"


@given('a section file with "{line}"')
def write_section(context, line):
    """Write a file with a valid section and one more line."""
    folder = tempfile.mkdtemp()
    context.path = Path(folder, "jobs.yaml")
    context.path.write_text(VALID_SECTION + line + "\n", encoding="utf-8")


@when("an operator checks it")
def check(context):
    """Run ``jujuberudderctl check``."""
    context.done = subprocess.run(
        [sys.executable, "-m", "jujuberudderctl", "check", str(context.path)],
        capture_output=True,
        text=True,
        check=False,
    )


@then('the exit code is {code:d} and the message names "{path}"')
def exits_with_message(context, code, path):
    """Check the exit code and the message, and that no traceback is printed."""
    output = context.done.stdout + context.done.stderr
    assert context.done.returncode == code, output
    assert path in output, output
    assert "Traceback" not in output, output
