"""Requests through all parts of a small deployment that runs in one process."""

import httpcore
import trio

from jujuberudder_standins import Client, Deployment, audit

JOBS = """\
service: jobs
routes: [{path_prefix: /jobs/}]
key: {source: path_segment, index: 1}
idempotent_methods: [GET]
"""
ZONES = ("dar-a", "dar-b", "dar-c")


async def start_deployment(nursery, zones=ZONES, services=("jobs", "dispatch")):
    """Start a deployment with one section, and a node for each service and zone."""
    deployment = Deployment("lango", nursery)
    await deployment.start_log()
    deployment.publish("jobs", JOBS)
    for service in services:
        for zone in zones:
            await deployment.start_member(service, zone)
    return deployment


async def test_keyed_requests_complete_after_the_loss_of_an_owner():
    """Guards against requests lost, run twice or altered after a node is killed."""
    async with trio.open_nursery() as nursery:
        deployment = await start_deployment(nursery)
        client = Client()
        address = deployment.members["dispatch-dar-a"].addresses.client
        for number in range(12):
            await client.send(address, "POST", f"/jobs/{number}", b"before")
        deployment.kill("jobs-dar-b")
        for number in range(12):
            await client.send(address, "POST", f"/jobs/{number}", b"after")
        runs = [r for m in deployment.members.values() for r in m.target.runs]
        assert not any(audit(runs, client.records))
        assert [record.outcome for record in client.records] == ["completed"] * 24
        nursery.cancel_scope.cancel()


async def test_request_without_a_section_is_not_run():
    """Guards against a request that reaches a target although no section routes it."""
    async with trio.open_nursery() as nursery:
        deployment = await start_deployment(
            nursery, zones=("dar-a",), services=("jobs",)
        )
        address = deployment.members["jobs-dar-a"].addresses.client
        response = await get_with_httpcore(f"http://{address}/nowhere")
        assert response.status == 404
        assert dict(response.headers)[b"jujuberudder-outcome"] == b"not-run"
        nursery.cancel_scope.cancel()


async def get_with_httpcore(url):
    """Return the response to one GET request."""
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request("GET", url)
