"""A control host is replaced; CatchUpS after the start of its successor two others lose their disks. Guards against a group of control hosts
that can never elect a leader again, because the removed host still counts as a voter: the acknowledged configuration cannot be read back."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import Client, Deployment, Record, Target, configuration, http, route, run_case

CATCH_UP_S = 4.0  # "CatchUpS"
RECOVERY_S = 12.0  # "RecoveryS"
CONTACT_S = 4.0  # "ContactMs"
TOLERATED = 2  # "FaultTolerance"
SUCCESSOR = "control-6"
VERSION = 7

# TROUBLE=0: no disruption. "replacement" and "losses" run one half of it, for comparison.
TROUBLE = os.environ.get("TROUBLE", "1")
HAS_REPLACEMENT = TROUBLE in ("1", "replacement")
HAS_LOSSES = TROUBLE in ("1", "losses")


async def leader_of(deployment, names, table):
    """The leader acknowledges a change itself; the others redirect."""
    for name in names:
        status, _ = await http(deployment.endpoint(name, deployment.control_port), "POST", "/jujubequay/Config.Replace", table)
        if status == 200:
            return name
    return None


async def read_back(deployment, names, seconds):
    """Asks each host until one answers, for `seconds`. Returns the versions that were read."""
    versions = []
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline and not versions:
        for name in names:
            status, body = await deployment.fetch_configuration(name)
            deployment.record.write(f"Config.Fetch at {name}: {status}")
            if status == 200:
                versions.append(json.loads(body)["Version"])
        await asyncio.sleep(0.5)
    return versions


async def scenario(record):
    deployment = Deployment(record, controls=6, balancers=1, agents=1, tolerated=TOLERATED)
    target = Target(deployment, 1, "service-a")
    client = Client(deployment, 1)
    founders = [f"control-{number}" for number in range(1, 6)]
    address = deployment.address("route", 1)
    table = configuration(VERSION, [route("r-1", address, 8080, "service-a")], ["service-a"])
    try:
        for name in deployment.hosts:
            if name != SUCCESSOR:
                deployment.start(name)
        for host in deployment.hosts.values():
            host.settings["Bootstrap"] = False
        await target.start()
        await client.start()
        if await deployment.replace_configuration(table) != 200 or not await deployment.wait_until_ready():
            return 2
        await asyncio.sleep(2 * CONTACT_S)
        await (await client.open(address, 8080)).request("before")

        leader = await leader_of(deployment, founders, table)
        if leader is None:
            return 2
        record.write(f"the leader is {leader}")
        running = list(founders)
        successor_started_at = time.monotonic()
        if HAS_REPLACEMENT:
            # A planned replacement: the successor first, 2 s later SIGTERM to its predecessor.
            deployment.start(SUCCESSOR)
            running.append(SUCCESSOR)
            await asyncio.sleep(2.0)
            deployment.signal(leader, signal.SIGTERM)
            deployment.hosts[leader].process.wait()
            running.remove(leader)
            record.write(f"{leader} is removed for good")
        await asyncio.sleep(successor_started_at + CATCH_UP_S + 0.2 - time.monotonic())

        if HAS_LOSSES:
            lost = [name for name in founders if name in running and name != leader][:TOLERATED]
            for name in lost:
                deployment.kill(name)
            record.write(f"{' and '.join(lost)} lose their disks, {time.monotonic() - successor_started_at:.2f} s after the start of the successor")
            await asyncio.sleep(1.0)
            for name in lost:
                deployment.hosts[name].settings["DataDir"] = str(deployment.directory / f"{name}.empty-disk")
                deployment.start(name)

        versions = await read_back(deployment, running, RECOVERY_S + 2 * CONTACT_S + 20)
        status = await deployment.replace_configuration(configuration(VERSION + 1, table["Routes"], ["service-a"]), give_up_after=CONTACT_S)
        record.write(f"versions read back: {versions}; the next change: {status or 'no acknowledgement'}")
        return 0 if versions and min(versions) >= VERSION else 1
    finally:
        client.close_if_open()
        target.stop_if_running()
        deployment.stop_all()


if __name__ == "__main__":
    sys.exit(run_case(sys.argv[1], scenario))
