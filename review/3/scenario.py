"""An agent gets one heartbeat of another writer, which names a service that does not exist. Guards against an agent that takes it for a new server:
it resets the open flows of the server that runs, and ignores the heartbeats of that server from then on."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import HEARTBEAT_MS, Client, Deployment, FlowReset, Record, Target, configuration, route, run_case

CONTACT_S = 4.0  # "ContactMs"
FLOWS = 12
# TROUBLE=0: no disruption. "address": a heartbeat without "Address" instead. "state": one with an unknown state.
TROUBLE = os.environ.get("TROUBLE", "1")
CHANGES = {
    "1": {"Service": "service-that-is-not-named"},
    "address": {"Address": None},
    "state": {"State": "unknown"},
}


async def scenario(record):
    deployment = Deployment(record, controls=3, balancers=2, agents=2)
    targets = [Target(deployment, number, "service-a") for number in (1, 2)]
    client = Client(deployment, 1)
    address = deployment.address("route", 1)
    try:
        deployment.start_all()
        for target in targets:
            await target.start()
        await client.start()
        table = configuration(7, [route("r-1", address, 8080, "service-a")], ["service-a"])
        if await deployment.replace_configuration(table) != 200 or not await deployment.wait_until_ready():
            return 2
        await asyncio.sleep(2 * CONTACT_S)
        flows = []
        for number in range(FLOWS):
            flow = await client.open(address, 8080)
            await flow.request(f"first-{number}")
            flows.append(flow)
        await asyncio.sleep(1.0)

        victim = targets[0]
        if TROUBLE in CHANGES:
            body = victim.heartbeat(Sequence=1, born=int(time.time() * 1000), **CHANGES[TROUBLE])
            status, _ = await victim.post_to_agent("/jujubequay/Instances.Heartbeat/i-other-writer", body)
            record.write(f"heartbeat of another writer to {victim.host.name}: {body} -> {status}")
        await asyncio.sleep(2.5 * HEARTBEAT_MS / 1000)

        broken = 0
        for number, flow in enumerate(flows):
            owner = next(target for target in targets if target.id == flow.instance)
            key = (client.ip, flow.port, address, 8080)
            try:
                await flow.request(f"second-{number}")
            except (FlowReset, TimeoutError) as error:
                record.write(f"second-{number} is not answered: {error}")
            # The stand-in's own packets carry a checksum; a reset with checksum 0 is one of the system.
            resets = [reset for reset in flow.resets if reset[2] and reset[1] == 0]
            if resets and owner.is_running and key in owner.flows and owner.flows[key]["open"]:
                broken += 1
                record.write(f"flow {flow.name} was reset by the system, while {owner.name} runs and holds it")
        if deployment.ended():
            record.write(f"ended: {deployment.ended()}")
        record.write(f"{broken} of {FLOWS} open flows were reset; {victim.name} holds {sum(1 for flow in victim.flows.values() if flow['open'])}")

        served_by = set()
        for number in range(FLOWS):
            try:
                flow = await client.open(address, 8080)
                await flow.request(f"third-{number}")
                served_by.add(flow.instance)
            except (FlowReset, TimeoutError) as error:
                record.write(f"third-{number} is not answered: {error}")
        record.write(f"new flows are served by {sorted(served_by)}")
        return 1 if broken else 0
    finally:
        client.close_if_open()
        for target in targets:
            target.stop_if_running()
        deployment.stop_all()


if __name__ == "__main__":
    sys.exit(run_case(sys.argv[1], scenario))
