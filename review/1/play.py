"""A pipeline of two stages: each job of the second awaits every job of the first. See claim.txt."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
import deployment
import sites

FIRST, SECOND = 420, 450
SUBMITTERS = 24
LOOK_S = 14  # how long to go on after a controller has ended


async def submit_all(fleet, jobs, enough):
    """Submits the jobs in turn, several at a time. Returns how many were accepted."""
    waiting, accepted = list(jobs), 0

    async def submitter():
        nonlocal accepted
        while waiting and not enough():
            status, _ = await fleet.submit(waiting.pop(0))
            accepted += status in (200, 201)

    tasks = [asyncio.ensure_future(submitter()) for _ in range(SUBMITTERS)]
    while not all(task.done() for task in tasks) and not enough():
        await asyncio.sleep(0.1)
    for task in tasks:
        task.cancel()
    fleet.record("accepted", jobs=accepted, peaks="/".join("%.1f" % node.peak_mb for node in fleet.nodes))
    return accepted


def stage_job(number, **more):
    return sites.job("wk-%06d" % number, "message-sweep", "van-crews", "batch", "normal", 1, 1, 0, 4.8, reckon_s=200.0,
                     **more)


async def case(fleet, trouble):
    def ended():
        return any(node.ends for node in fleet.nodes)

    first = [stage_job(i) for i in range(FIRST)]
    if await submit_all(fleet, first, ended) != FIRST:
        raise RuntimeError("not all jobs of the first stage were accepted")
    refs = [job["ref"] for job in first]
    second = [stage_job(100000 + i, awaits=refs if trouble else refs[i % FIRST:i % FIRST + 1]) for i in range(SECOND)]
    accepted = await submit_all(fleet, second, ended)
    if not ended() and accepted != SECOND:
        raise RuntimeError("not all jobs of the second stage were accepted")
    asked = answered = 0
    for _ in range(LOOK_S):
        status, _ = await fleet.ask("GET", "/v1/jobs/" + refs[asked], timeout=2.0)
        asked, answered = asked + 1, answered + (status == 200)
        await asyncio.sleep(1.0)
    fleet.record("questions", asked=asked, answered=answered)
    return not ended()


deployment.play(case, sites.LEAN, FOLDER)
