"""A submission that is not CBOR of the protocol: lists in lists, each claiming more items than follow. See claim.txt."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
import deployment
import sites

BODY_BYTES = 64 * 1024  # "A request body may be at most 64 KiB"
DEPTH = 2000
RETRY_S = 60  # a submission without an answer is retried for up to 60 s


def malformed():
    """DEPTH lists, each the first item of the one around it, each claiming as many items as bytes are left."""
    body = b""
    while len(body) < 3 * DEPTH:
        body += b"\x99" + (BODY_BYTES - len(body) - 3).to_bytes(2, "big")
    return body + bytes(BODY_BYTES - len(body))


async def case(fleet, trouble):
    job = sites.job("wk-000001", "rider-help", "rider-care", "daemon", "prod", 2, 8, 2, 40, scatter=True)
    if (await fleet.submit(job))[0] != 201:
        raise RuntimeError("the first job was not accepted")
    await asyncio.sleep(5)
    body, end = malformed() if trouble else bytes(BODY_BYTES), asyncio.get_running_loop().time() + RETRY_S
    asked = answered = 0
    while asyncio.get_running_loop().time() < end:
        status, _ = await fleet.ask("POST", "/v1/jobs", raw=body)
        if status == 400:  # "Not retried"
            break
        for _ in range(2):
            status, _ = await fleet.ask("GET", "/v1/jobs/wk-000001", timeout=2.0)
            asked, answered = asked + 1, answered + (status == 200)
            await asyncio.sleep(1.0)
    await asyncio.sleep(2)
    fleet.record("questions", asked=asked, answered=answered)
    return not any(node.ends for node in fleet.nodes)


deployment.play(case, sites.BRIEF, FOLDER)
