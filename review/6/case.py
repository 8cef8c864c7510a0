"""Guards against control hosts that never elect a leader again after a replacement and the tolerated loss of disks."""

import json
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import deployment_2 as kit

# 0: nothing is replaced or lost. For comparison: "replacement", "losses", "sigterm" (the removed host gets SIGTERM).
TROUBLE = os.environ.get("TROUBLE", "1")
HOSTS = 5
TOLERATED = 2  # FaultTolerance.Machines
REMOVAL_S = 10.0  # from the start of the successor; CatchUpS is 4
LOSS_S = 1.0  # from the removal
DOWN_S = 1.0
READ_BACK_S = 40.0  # RecoveryS is 12, ContactMs 4,000
ROUTES = [kit.route("r-desk", "127.198.0.1", 8080, "desk")]


def order(version):
    return json.dumps(kit.configuration(version, ROUTES, ["desk"]))


def find_leader(hosts):
    """The control host to which the others redirect orders."""
    for host in hosts:
        status, _, location = kit.call(host.fields["Listen"]["Control"], "POST", "/jujubequay/Config.Replace", order(1))
        if status == 200:
            return host
        if status == 307 and location:
            return next(other for other in hosts if other.fields["Ip"] in location)
    return None


def run(deployment, record):
    hosts = deployment.start_control(HOSTS, TOLERATED)
    operator = kit.Operator(deployment)
    if operator.replace("sends version 1", order(1), 20) != 200:
        return kit.COULD_NOT_RUN
    time.sleep(5)  # all hosts have joined
    leader = find_leader(hosts)
    if leader is None:
        return kit.COULD_NOT_RUN
    record.write(f"{leader.name} is the leader")
    removed = next(host for host in hosts if host is not leader)
    kept = [host for host in hosts if host is not removed]

    if TROUBLE not in ("0", "losses"):
        successor = deployment.add_control([host.fields["Listen"]["Control"] for host in kept[:3]], TOLERATED)
        record.write(f"{successor.name} starts with an empty disk, to replace {removed.name}, which is not the leader")
        time.sleep(REMOVAL_S)
        removed.stop(signal.SIGTERM if TROUBLE == "sigterm" else signal.SIGKILL)
        record.write(f"{removed.name} is removed for good, {REMOVAL_S} s after the start of {successor.name}")
        kept.append(successor)
        deployment.control_addresses = [host.fields["Listen"]["Control"] for host in kept]
    loss_at = time.monotonic() + LOSS_S
    if operator.replace("sends version 2", order(2), LOSS_S / 2) == 200:
        record.write("version 2 is acknowledged")
    time.sleep(max(0.0, loss_at - time.monotonic()))
    if TROUBLE not in ("0", "replacement"):
        lost = kept[:TOLERATED]
        for host in lost:
            host.lose_disk()
        record.write(f"{', '.join(host.name for host in lost)} lose their disks")
        time.sleep(DOWN_S)
        for host in lost:
            host.start()
        record.write(f"{', '.join(host.name for host in lost)} start again, all {len(kept)} control hosts run")

    deadline = time.monotonic() + READ_BACK_S
    status = 0
    while time.monotonic() < deadline and status != 200:
        answers = {}
        for host in kept:
            status, document = operator.fetch(host.fields["Listen"]["Control"])
            answers[host.name] = status
            if status == 200:
                record.write(f"operator reads version {json.loads(document)['Version']} at {host.name}")
                break
        record.write(f"operator reads: {answers}")
        time.sleep(2)
    acknowledged = operator.replace("sends version 3", order(3), 5)
    record.write(f"read back: {status == 200}; version 3 acknowledged: {acknowledged == 200}")
    return kit.HELD if status == 200 else kit.BROKEN


if __name__ == "__main__":
    kit.main(run)
