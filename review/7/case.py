"""Guards against a control host or an agent that a single unreadable JSON value ends."""

import json
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import deployment_2 as kit

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ORDERS = 3  # invalid configurations, as in `bad_config`, count = 3 of the site file
ORDER_GAP_S = 1.0
ORDER_TIME_S = 8.0  # the operator repeats an order that gets no clear response
ACK_S = 5.0  # AckMs
NESTING = 130_000  # levels of an array; the body stays below MaxBodyBytes (262,144)
MAX_OWN_ENDS = 3  # "processes end by themselves three times in the day"


def unreadable():
    """A value of another type than the field: an array in place of a number or a text."""
    return "[" * NESTING + "]" * NESTING if TROUBLE else "[]"


def invalid_configuration(valid):
    return json.dumps(valid | {"Version": "@"}).replace('"@"', unreadable())


def foreign_announcement(agent):
    body = {"Service": "@", "Address": agent.fields["app"], "Zone": "zone-0", "Version": "v1", "Capacity": 3, "State": "ready"}
    return json.dumps(body | {"WarmupLeftMs": 0, "Sequence": 1, "born": int(time.time() * 1000)}).replace('"@"', unreadable())


def run(deployment, record):
    controls = deployment.start_control(3)
    balancer = deployment.start_balancer()
    agents = [deployment.start_agent("desk"), deployment.start_agent("desk")]
    routes = [kit.route("r-desk", "127.198.0.1", 8080, "desk")]
    operator = kit.Operator(deployment)
    if operator.replace("sends version 1", json.dumps(kit.configuration(1, routes, ["desk"])), 20) != 200:
        return kit.COULD_NOT_RUN
    servers = [kit.Server(deployment, agent, "desk", f"server-{index}") for index, agent in enumerate(agents)]
    for server in servers:
        server.start()
    if not all(server.acknowledged.wait(10) for server in servers):
        return kit.COULD_NOT_RUN
    caller = kit.Caller(deployment, [balancer])
    if not kit.wait_until(lambda: caller.request(("127.198.0.1", 8080), "before"), 10, 0.3):
        return kit.COULD_NOT_RUN
    if deployment.own_ends():
        return kit.COULD_NOT_RUN

    broken = False
    invalid = invalid_configuration(kit.configuration(2, routes, ["desk"]))
    assert len(invalid) < 262_144
    for number in range(ORDERS):
        status = operator.replace(f"sends invalid configuration {number + 1} ({len(invalid)} bytes)", invalid, ORDER_TIME_S)
        broken |= status == 200
        time.sleep(ORDER_GAP_S)
    for agent in agents:
        for number in range(ORDERS):
            status, _, _ = kit.call(agent.fields["Listen"]["Control"], "POST", f"/jujubequay/Instances.Heartbeat/i-other-{number}", foreign_announcement(agent))
            record.write(f"another writer announces an unreadable entry to {agent.name}: {status or 'no'} response")
            time.sleep(2 * kit.RESTART_DELAY_S)

    status = operator.replace("sends version 3", json.dumps(kit.configuration(3, routes, ["desk"])), ACK_S)
    record.write(f"version 3 is {'acknowledged' if status == 200 else 'not acknowledged'} within {ACK_S} s")
    ends = {process.name: len(process.own_ends) for process in controls + agents}
    record.write(f"ends by themselves: {ends}")
    faulty_controls = [process for process in controls if ends[process.name] >= MAX_OWN_ENDS]
    faulty_agents = [process for process in agents if ends[process.name] >= MAX_OWN_ENDS]
    record.write(f"control hosts with {MAX_OWN_ENDS} or more: {len(faulty_controls)} of {len(controls)}; agents: {len(faulty_agents)} of {len(agents)}")
    broken |= 2 * len(faulty_controls) >= len(controls) or len(faulty_agents) >= 2
    caller.close()
    return kit.BROKEN if broken else kit.HELD


if __name__ == "__main__":
    kit.main(run)
