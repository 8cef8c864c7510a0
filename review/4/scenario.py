"""A draining target deregisters while the agent beside it restarts, and exits some seconds later. Guards against an agent that takes a server it
knows nothing of for one that accepts new flows, although its earlier run has acknowledged that the server drains."""

import asyncio
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import Client, Deployment, FlowReset, Record, Target, configuration, route, run_case

CONTACT_S = 4.0  # "ContactMs"
DRAIN_S = 3.0  # "DrainMs"
AGENTS = 6  # one of them is a share of 0.17, within the largest ones of the site files for scale_in and roll_term
DRAINING_S = 5.0  # how long the target serves after its drain was acknowledged
RESTART_DELAY_S = 0.5  # time without the process of the agent
EXIT_S = 8.0  # time from the deregistration without an ack to the end of the target
# TROUBLE=0: no disruption. "drain": the target leaves, its agent is not restarted. "restart": the agent is restarted, the target stays.
TROUBLE = os.environ.get("TROUBLE", "1")
LEAVES = TROUBLE in ("1", "drain")
RESTARTS = TROUBLE in ("1", "restart")


async def scenario(record):
    deployment = Deployment(record, controls=3, balancers=2, agents=AGENTS)
    targets = [Target(deployment, number, "service-a") for number in range(1, AGENTS + 1)]
    client = Client(deployment, 1)
    address = deployment.address("route", 1)
    syn_sent_at = {}  # first packet of each flow, by port
    try:
        deployment.start_all()
        for target in targets:
            await target.start()
        await client.start()
        table = configuration(7, [route("r-1", address, 8080, "service-a")], ["service-a"])
        if await deployment.replace_configuration(table) != 200 or not await deployment.wait_until_ready():
            return 2
        await asyncio.sleep(2 * CONTACT_S)

        leaving = targets[0]
        drain_acknowledged_at = None
        if LEAVES:
            leaving.state = "draining"
            status = await leaving.beat()
            if status != 200:
                return 2
            drain_acknowledged_at = time.monotonic()
            record.write(f"{leaving.name} drains: {status}")
        await asyncio.sleep(DRAINING_S)
        if RESTARTS:
            deployment.signal(leaving.host.name, signal.SIGTERM)
            deployment.hosts[leaving.host.name].process.wait()
        if LEAVES:
            leaving.stop_heartbeats()
            status, _ = await leaving.post_to_agent(f"/jujubequay/Instances.Deregister/{leaving.id}", None)
            record.write(f"{leaving.name} deregisters: {status or 'no answer'}")
        deregistered_at = time.monotonic()
        exits_at = deregistered_at + (0 if LEAVES and status == 200 else EXIT_S)
        await asyncio.sleep(RESTART_DELAY_S)
        if RESTARTS:
            deployment.start(leaving.host.name)
        started_at = time.monotonic()

        while time.monotonic() < deregistered_at + EXIT_S - 0.5:
            if LEAVES and leaving.is_running and time.monotonic() >= exits_at:
                leaving.stop()
            try:
                syn_sent_at[client.next_port] = time.monotonic()
                flow = await client.open(address, 8080)
                await flow.request(f"request-{flow.port}", deadline_s=1.2)
            except (FlowReset, TimeoutError) as error:
                record.write(f"not answered: {error}")
            await asyncio.sleep(0.05)

        late = []
        for (_, port, _, _), taken_at in leaving.syn_taken_at.items():
            is_in_touch = syn_sent_at.get(port, 0) >= started_at + CONTACT_S
            if LEAVES and is_in_touch and taken_at > drain_acknowledged_at + DRAIN_S and f"request-{port}" in leaving.runs:
                late.append(f"{taken_at - drain_acknowledged_at:.2f}")
        record.write(f"requests that reached {leaving.name} through machines in touch, in seconds after its drain was acknowledged: {late}")
        return 1 if late else 0
    finally:
        client.close_if_open()
        for target in targets:
            target.stop_if_running()
        deployment.stop_all()


if __name__ == "__main__":
    sys.exit(run_case(sys.argv[1], scenario))
