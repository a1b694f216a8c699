"""A frozen core machine, and another one that loses its disk meanwhile."""

import json
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

from cluster import (  # noqa: E402
    BOUNDS,
    call_operator,
    Cluster,
    limit_time,
    make_config,
    Record,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

FREEZE_SECONDS = 3.5
DOWN_SECONDS = 1.0
RECOVERY_SECONDS = BOUNDS["recovery_s"]
#: Further seconds for which the operator asks for the configuration.
ASK_SECONDS = 8.0
ROUNDS = 4
LAST_START = 50.0
#: Seconds between two looks at the logs.
LOOK_SECONDS = 0.0002


def put(record, address, version):
    body = json.dumps(make_config(version))
    status, _ = call_operator(address, "POST", "/api/config/put", body)
    record.write(f"put version {version} at {address}: {status or 'no answer'}")
    return status


def put_until_acked(record, cluster, version, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for node in cluster.registries:
            if put(record, node.address, version) == 200:
                return True
        time.sleep(0.3)
    return False


def read(record, cluster, at_least, seconds):
    """Ask all machines for the configuration until one gives a current one."""
    end, answers = time.monotonic() + seconds, {}
    while time.monotonic() < end:
        for node in cluster.registries:
            status, body = call_operator(node.address, "GET", "/api/config/get")
            answers[node.name] = status
            if status == 200:
                version = json.loads(body)["version"]
                record.write(f"read at {node.name}: version {version}")
                return version >= at_least
            record.write(f"read at {node.name}: {status or 'no answer'}")
        time.sleep(0.3)
    record.write(f"no machine answers a read with 200; last answers: {answers}")
    return False


class Watch:
    """Follows the logs of the registries: who leads, and which machines vote."""

    def __init__(self, cluster):
        self._files = [open(node.log_path, "rb") for node in cluster.registries]
        self.voters, self.leader, self.repairing = set(), "", ""

    def look(self):
        """Read what is new, and return whether a repair has just begun."""
        begun = False
        for file in self._files:
            for line in file.readlines():
                begun = self._read(line) or begun
        return begun

    def _read(self, line):
        if b'"founding"' in line:
            self.voters = set(json.loads(line)["founders"].split(","))
        elif b'"leader changed"' in line:
            found = json.loads(line)
            if found["leader"]:
                self.leader = found["leader"].rpartition(".")[0]
        elif b"is lost, replacing it by the new one on" in line:
            return True
        elif b" replaced by " in line:
            words = json.loads(line)["message"].split()
            self.voters.discard(words[1].rpartition(".")[0])
            self.voters.add(words[-1].rpartition(".")[0])
        elif b" now votes" in line:
            self.voters.add(json.loads(line)["message"].split()[1].rpartition(".")[0])
        return False


def run_round(record, cluster, watch, acked):
    """Freeze one machine that votes; another loses its disk as the leader reacts.

    :returns: whether what was acknowledged is still there.
    """
    nodes = {node.name: node for node in cluster.registries}
    watch.look()
    followers = sorted(watch.voters - {watch.leader})
    if len(followers) < 2:
        record.write(f"too few known: {sorted(watch.voters)}, leads: {watch.leader}")
        return True
    frozen, lost = nodes[followers[0]], nodes[followers[1]]
    record.write(f"votes: {sorted(watch.voters)}, leads: {watch.leader}")
    frozen_at = time.monotonic()
    frozen.signal(signal.SIGSTOP)
    record.write(f"{frozen.name} freezes")
    while not watch.look() and time.monotonic() - frozen_at < FREEZE_SECONDS:
        time.sleep(LOOK_SECONDS)
    lost.kill()
    lost.wipe()
    record.write(f"{lost.name} loses its disk")
    time.sleep(DOWN_SECONDS)
    lost.start()
    time.sleep(max(0.0, frozen_at + FREEZE_SECONDS - time.monotonic()))
    frozen.signal(signal.SIGCONT)
    record.write(f"{frozen.name} thaws, {lost.name} runs with an empty disk: all are back")
    if not read(record, cluster, acked, RECOVERY_SECONDS + ASK_SECONDS):
        record.write(
            f"BROKEN: version {acked} was acknowledged, and all machines have been back "
            f"for more than {RECOVERY_SECONDS} s"
        )
        return False
    return True


def run(record, cluster):
    cluster.start()
    if not put_until_acked(record, cluster, 1, 20.0):
        return 2
    watch, began = Watch(cluster), time.monotonic()
    time.sleep(BOUNDS["catch_up_s"])
    for acked in range(2, 2 + ROUNDS):
        if not put_until_acked(record, cluster, acked, 6.0):
            record.write("BROKEN: no change is acknowledged any more")
            return 1
        if TROUBLE:
            if time.monotonic() - began > LAST_START:
                break
            if not run_round(record, cluster, watch, acked):
                return 1
        elif not read(record, cluster, acked, 4.0):
            return 1
        time.sleep(BOUNDS["catch_up_s"])
    record.write("held")
    return 0


def main():
    limit_time()
    record = Record(HERE / "record.txt")
    cluster = Cluster(disks=4)
    code = 2
    try:
        code = run(record, cluster)
    finally:
        cluster.stop()
    record.write(f"exit {code}")
    sys.exit(code)


if __name__ == "__main__":
    main()
