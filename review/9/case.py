"""Guards against packets for one service that reach the servers of another one whose name has the same 32-bit key."""

import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import deployment_2 as kit

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DESK = "bigu74s"
VAULT = "dasi72o" if TROUBLE else "pilo29h"
REQUESTS = 40
DESK_ADDRESS = ("127.198.0.1", 8080)
VAULT_ADDRESS = ("127.198.0.1", 8443)


def run(deployment, record):
    deployment.start_control(3)
    balancer = deployment.start_balancer()
    agents = {service: deployment.start_agent(service) for service in (DESK, VAULT)}
    operator = kit.Operator(deployment)
    routes = [kit.route("r-desk", *DESK_ADDRESS, DESK), kit.route("r-vault", *VAULT_ADDRESS, VAULT)]
    if operator.replace("sends version 1", json.dumps(kit.configuration(1, routes, [DESK, VAULT])), 20) != 200:
        return kit.COULD_NOT_RUN
    servers = [kit.Server(deployment, agent, service, f"server-of-{service}") for service, agent in agents.items()]
    for server in servers:
        server.start()
    if not all(server.acknowledged.wait(10) for server in servers):
        return kit.COULD_NOT_RUN
    caller = kit.Caller(deployment, [balancer])
    for address in (DESK_ADDRESS, VAULT_ADDRESS):
        if not kit.wait_until(lambda: caller.request(address, "before"), 10, 0.3):
            return kit.COULD_NOT_RUN

    foreign = 0
    answered = 0
    for number in range(REQUESTS):
        service, address = ((DESK, DESK_ADDRESS), (VAULT, VAULT_ADDRESS))[number % 2]
        body = caller.request(address, f"{service}-{number}")
        answered += body is not None
        foreign += body is not None and body.split(" ")[0] != service
    caller.close()
    record.write(f"{REQUESTS} requests, {answered} answered, {foreign} of them by a service that no configuration allows")
    if answered < REQUESTS / 2:
        return kit.COULD_NOT_RUN
    return kit.BROKEN if foreign else kit.HELD


if __name__ == "__main__":
    kit.main(run)
