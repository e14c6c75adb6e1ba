"""A job is cancelled whose machine hangs. The leader ends while the state service is down."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standin import *

TEAM = "branch-ops-01"
# In seconds after the answer to the cancellation: the state service goes down, and the leader ends. The
# outage lasts longer than `cancel_s`, and the leader is back after 6 s.
OUTAGE_AT_S, OUTAGE_S = 1.0, 42.0
CRASH_AT_S, AWAY_S = 3.0, 6.0
# The rule's bound, `cancel_s`, and the margin that the check leaves for its own timing.
CANCEL_S, MARGIN_S = 36.0, 1.0


async def case(trouble):
    d = small_lone_star(boot_s=1.5)
    try:
        await d.start(os.path.join(HERE, "record.txt"))
        # Another job keeps a second machine up, which answers throughout.
        other = d.job("job-000001", TEAM, 1, 12.0, 50.0, 600.0)
        job = d.job("job-000002", TEAM, 1, 8.0, 50.0, 600.0)
        for submitted in (other, job):
            if await d.submit(submitted) != 201:
                raise CannotRun("%s was not accepted" % submitted["nameId"])
        if not await d.wait(lambda: len(d.of("started")) == 2, 30):
            raise CannotRun("the tasks did not start")
        await asyncio.sleep(3.0)
        host = [f["host"] for _, f in d.of("started") if f["piece"] == "job-000002/0"][0]
        worker, leader = d.cloud.machines[host]["worker"], d.leader()
        if leader is None:
            raise CannotRun("there is no leader")
        worker.hung = True
        d.event("machine_hangs", host=host)
        body = await d.cancel("job-000002")
        if not body or body["status"] != "cancelled":
            raise CannotRun("the job was not cancelled")
        told = d.of("cancel_answered")[0][0]

        async def troubles():
            await asyncio.sleep(max(0.0, told + OUTAGE_AT_S - now()))
            d.state.set_down(True)
            d.event("state_service_down", leader=d.hosts[leader])
            await asyncio.sleep(max(0.0, told + CRASH_AT_S - now()))
            d.signal(leader, signal.SIGKILL)
            d.processes[leader].wait()
            await asyncio.sleep(AWAY_S)
            d.start_node(leader)
            await asyncio.sleep(max(0.0, told + OUTAGE_AT_S + OUTAGE_S - now()))
            d.state.set_down(False)
            d.event("state_service_up")

        disturbed = asyncio.create_task(troubles()) if trouble else None
        on_machine = lambda: host in d.cloud.machines and any(
            key[0] == "job-000002/0" and task["status"] != "ended" for key, task in worker.tasks.items())
        gone = await d.wait(lambda: not on_machine(), CANCEL_S + MARGIN_S - (now() - told))
        d.event("verdict", held=gone, after_s=round(now() - told, 1), machine_hired=host in d.cloud.machines)
        if gone:
            print("the task was gone %.1f s after the cancellation was confirmed" % (now() - told))
        else:
            print("the task was on its machine %.1f s after the cancellation was confirmed" % (now() - told))
            if disturbed:
                await disturbed
            if await d.wait(lambda: not on_machine(), 25.0):
                d.event("gone_late", after_s=round(now() - told, 1))
                print("it was gone after %.1f s" % (now() - told))
        return gone
    finally:
        d.stop()


main(case)
