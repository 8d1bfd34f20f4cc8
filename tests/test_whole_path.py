"""A request travels the whole path of a small deployment in one process."""

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


async def start(nursery, zones=ZONES, services=("jobs", "dispatch")):
    """Start a deployment with one section."""
    deployment = Deployment("lango", nursery)
    await deployment.start_log()
    deployment.publish("jobs", JOBS)
    for service in services:
        for zone in zones:
            await deployment.start_member(service, zone)
    return deployment


async def test_keyed_requests_survive_the_loss_of_an_owner():
    """Guards against keys that stay unserved, doubled or altered after a loss."""
    async with trio.open_nursery() as nursery:
        deployment = await start(nursery)
        client = Client()
        address = deployment.members["dispatch-dar-a"].addresses.client
        for number in range(12):
            await client.send(address, "POST", f"/jobs/{number}", b"before")
        deployment.kill("jobs-dar-b")
        for number in range(12):
            await client.send(address, "POST", f"/jobs/{number}", b"after")
        runs = [r for m in deployment.members.values() for r in m.target.runs]
        assert not any(audit(runs, client.told))
        assert [one.outcome for one in client.told] == ["completed"] * 24
        nursery.cancel_scope.cancel()


async def test_no_section_is_not_run():
    """Guards against a request that reaches a target without a section."""
    async with trio.open_nursery() as nursery:
        deployment = await start(nursery, zones=("dar-a",), services=("jobs",))
        address = deployment.members["jobs-dar-a"].addresses.client
        answer = await httpcore_get(f"http://{address}/nowhere")
        assert answer.status == 404
        assert dict(answer.headers)[b"jujuberudder-outcome"] == b"not-run"
        nursery.cancel_scope.cancel()


async def httpcore_get(url):
    """Return the answer to one GET."""
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request("GET", url)
