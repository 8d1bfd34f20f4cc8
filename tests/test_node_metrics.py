"""Metrics of running nodes at /metrics, and the debug header."""

import httpcore
import pytest
import trio
from prometheus_client.parser import text_string_to_metric_families

from jujuberudder_clients._metered import reason_label
from jujuberudder_core import INSTRUMENTS
from jujuberudder_standins import Client, Deployment

JOBS = """\
service: jobs
routes: [{path_prefix: /jobs/}]
key: {source: path_segment, index: 1}
"""
ZONES = ("dar-a", "dar-b", "dar-c")


@pytest.fixture
async def deployment(nursery):
    """Start a deployment with six nodes and one keyed section."""
    started = Deployment("lango", nursery)
    await started.start_log()
    started.publish("jobs", JOBS)
    for zone in ZONES:
        await started.start_member("jobs", zone)
        await started.start_member("dispatch", zone)
    for member in started.members.values():
        await until(lambda member=member: ready(member))
    return started


async def ready(member):
    """Return whether a node has the section, balanced shards and granted renewals."""
    samples = await scrape(member)
    version = total(samples, "jujuberudder_section_version", section="jobs")
    shards = {"service": "jobs", "of": "shards"}
    balanced = 0 < total(samples, "jujuberudder_imbalance", **shards) < 1.2
    renewals = "jujuberudder_lease_renewals_total"
    renewed = total(samples, renewals, result="granted") > 3
    return version == 1 and balanced and renewed


async def get(address, path, headers=()):
    """Return the response to one GET request."""
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request("GET", f"http://{address}{path}", headers=headers)


async def scrape(member):
    """Return the metric samples of a node."""
    response = await get(member.addresses.operator, "/metrics")
    families = text_string_to_metric_families(response.content.decode())
    return [sample for family in families for sample in family.samples]


def total(samples, name, **labels):
    """Return the sum of the samples with a name and these labels."""
    return sum(
        sample.value
        for sample in samples
        if sample.name == name and labels.items() <= sample.labels.items()
    )


async def until(condition):
    """Wait until an async condition holds."""
    with trio.fail_after(20):
        while not await condition():
            await trio.sleep(0.05)


async def test_requests_are_counted_by_outcome_and_reason(deployment):
    """Guards against refusals whose reason is in no metric."""
    member = deployment.members["dispatch-dar-a"]
    client = Client()
    for number in range(5):
        await client.send(member.addresses.client, "GET", f"/jobs/{number}")
    await get(member.addresses.client, "/nowhere")
    samples = await scrape(member)
    name = "jujuberudder_requests_total"
    assert total(samples, name, service="jobs", outcome="completed") == 5
    assert total(samples, name, outcome="not-run", reason="no section") == 1
    assert total(samples, "jujuberudder_request_seconds_count", service="jobs") == 5
    others = [m for m in deployment.members.values() if m is not member]
    assert not any([total(await scrape(m), name) for m in others])


REASONS = [
    ("", ""),
    ("elsewhere moving or no lease", "no lease"),
    ("no section for this host and path", "no section"),
    ("the request carries no key", "no key"),
    ("admit target: queue full", "queue full"),
    ("forward 10.0.0.1:7: ConnectError refused", "connection refused"),
    ("target 10.0.0.2:7: RemoteProtocolError peer closed", "connection broken"),
    ("what nobody thought of, at 10.0.0.1", "other"),
]


@pytest.mark.parametrize("reason, expected", REASONS)
def test_reasons_are_a_bounded_set(reason, expected):
    """Guards against one series per address when reasons contain addresses."""
    assert reason_label(reason) == expected


async def test_a_takeover_is_measured(deployment):
    """Guards against takeovers whose duration and steps are in no metric."""
    client = Client()
    address = deployment.members["dispatch-dar-a"].addresses.client
    await client.send(address, "GET", "/jobs/1")
    zone = {"service": "jobs", "owner_availability_zone": "dar-b"}
    deployment.kill("jobs-dar-b")
    alive = [m for m in deployment.members.values() if m.name != "jobs-dar-b"]

    async def taken_over():
        samples = sum([await scrape(member) for member in alive], [])
        return total(samples, "jujuberudder_unavailable_seconds_total", **zone) > 0

    await until(taken_over)
    samples = sum([await scrape(member) for member in alive], [])
    assert total(samples, "jujuberudder_takeovers_total", result="applied") > 0
    for step in ("detect", "seal", "wait", "append"):
        name = "jujuberudder_takeover_step_seconds_count"
        assert total(samples, name, step=step) > 0, step
    assert total(samples, "jujuberudder_lease_renewals_total", result="granted") > 0
    assert total(samples, "jujuberudder_lease_margin_seconds_count") > 0


async def test_imbalance_of_requests_is_measured(deployment):
    """Guards against an overloaded target that is visible in no metric."""
    client = Client()
    address = deployment.members["dispatch-dar-a"].addresses.client
    members = deployment.members.values()

    async def uneven():
        await client.send(address, "GET", "/jobs/1")
        samples = sum([await scrape(member) for member in members], [])
        name, of = "jujuberudder_imbalance", {"service": "jobs", "of": "requests"}
        values = [s.value for s in samples if s.name == name and _has_labels(s, of)]
        return max(values, default=0) > 2

    await until(uneven)


def _has_labels(sample, labels):
    return labels.items() <= sample.labels.items()


async def test_metrics_follow_a_rename_that_is_published(deployment):
    """Guards against renamed instruments that take effect only after a restart."""
    member = deployment.members["jobs-dar-a"]
    rename = "{name: router_section, labels: {section: part}}"
    instruments = f"{{jujuberudder_section_version: {rename}}}"
    text = f"service: dashboards\ndashboards: {{instruments: {instruments}}}\n"
    deployment.publish("dashboards", text)

    async def renamed():
        samples = await scrape(member)
        return total(samples, "router_section", part="jobs") == 1

    await until(renamed)
    samples = await scrape(member)
    assert total(samples, "jujuberudder_section_version") == 0
    assert total(samples, "router_section", part="dashboards") == 2


async def test_every_series_belongs_to_a_known_instrument(deployment):
    """Guards against a metric that is missing in docs/dashboards.md."""
    known = {instrument.name for instrument in INSTRUMENTS}
    for sample in await scrape(deployment.members["jobs-dar-a"]):
        name = sample.name
        for suffix in ("_bucket", "_sum", "_count", "_created"):
            name = name.removesuffix(suffix)
        assert name in known


async def test_debug_header_names_the_section_that_was_used(deployment):
    """Guards against a section version that is reported but not used for requests."""
    address = deployment.members["dispatch-dar-a"].addresses.client
    debugged = await get(address, "/jobs/1", [("Jujuberudder-Debug", "section")])
    plain = await get(address, "/jobs/1")
    assert dict(debugged.headers)[b"jujuberudder-section"] == b"jobs version 1"
    assert b"jujuberudder-section" not in dict(plain.headers)
