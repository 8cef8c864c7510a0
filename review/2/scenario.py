"""An agent gets one heartbeat of another writer, without "Address", which names another service of the configuration. Guards against an agent that
takes it for a new server: the balancers then send flows of that service to a server of this one."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import HEARTBEAT_MS, Client, Deployment, FlowReset, Record, Target, configuration, route, run_case

CONTACT_S = 4.0  # "ContactMs"
FLOWS = 20
# TROUBLE=0: no disruption. "zone": "Zone" is a number and "Address" is there.
TROUBLE = os.environ.get("TROUBLE", "1")
CHANGES = {"1": {"Address": None}, "zone": {"Zone": 5}}


async def scenario(record):
    services = ["service-a", "service-b"]
    deployment = Deployment(record, controls=3, balancers=2, agents=2, services=services)
    targets = [Target(deployment, number, service) for number, service in enumerate(services, 1)]
    client = Client(deployment, 1)
    addresses = {service: deployment.address("route", number) for number, service in enumerate(services, 1)}
    try:
        deployment.start_all()
        for target in targets:
            await target.start()
        await client.start()
        table = configuration(7, [route(f"r-{service}", address, 8080, service) for service, address in addresses.items()], services)
        if await deployment.replace_configuration(table) != 200 or not await deployment.wait_until_ready():
            return 2
        await asyncio.sleep(2 * CONTACT_S)
        for service in services:
            await (await client.open(addresses[service], 8080)).request(f"first-{service}")

        victim = targets[0]
        if TROUBLE in CHANGES:
            body = victim.heartbeat(Service="service-b", Sequence=1, born=int(time.time() * 1000), **CHANGES[TROUBLE])
            status, _ = await victim.post_to_agent("/jujubequay/Instances.Heartbeat/i-other-writer", body)
            record.write(f"heartbeat of another writer to {victim.host.name}: {body} -> {status}")
        await asyncio.sleep(2.0 * HEARTBEAT_MS / 1000)

        for number in range(FLOWS):
            try:
                flow = await client.open(addresses["service-b"], 8080)
                await flow.request(f"for-b-{number}")
            except (FlowReset, TimeoutError) as error:
                record.write(f"for-b-{number} is not answered: {error}")
        misrouted = [request for request in victim.runs if request.startswith("for-b-")]
        record.write(f"{len(misrouted)} of {FLOWS} requests for service-b were run by {victim.name} of service-a: {misrouted}")
        return 1 if misrouted else 0
    finally:
        client.close_if_open()
        for target in targets:
            target.stop_if_running()
        deployment.stop_all()


if __name__ == "__main__":
    sys.exit(run_case(sys.argv[1], scenario))
