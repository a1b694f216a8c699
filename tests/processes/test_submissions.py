"""Tests of document submissions: durability, conflicts and concurrency."""

import asyncio

from tests.processes.fleet import OPERATOR_KEY, Fleet, Reply, render_document

#: Number of concurrently submitted documents.
CHANGES = 40


async def read_revision(fleet: Fleet) -> object:
    while True:
        reply = await fleet.call_operator_api("GET", "/v1/documents/mester")
        if reply.status == 200:
            return reply.value["revision"]
        await asyncio.sleep(0.1)


async def test_accepted_change_survives_restart_of_all_replicas(start_fleet):
    """Guards against losing an accepted change when all control replicas are killed."""
    fleet = await start_fleet(engines=1, entries=1)
    accepted = await fleet.submit("mester.ini", base=1, extra="; changed\n")
    for control in fleet.controls:
        control.kill()
    for control in fleet.controls:
        control.start()
    repeated = await fleet.submit("mester.ini", base=1, extra="; changed\n")
    assert repeated.value["revision"] == accepted.value["revision"] == 2
    assert await read_revision(fleet) == 2
    await fleet.wait_serving()


async def test_concurrent_submissions_of_one_revision_conflict(start_fleet):
    """Guards against a lost update when two operators edit the same revision."""
    fleet = await start_fleet(engines=1, entries=1)
    text = (await fleet.call_operator_api("GET", "/v1/documents/mester")).value["text"]

    async def submit(name: str) -> Reply:
        target = f"/v1/documents/mester?base=1&submission={name}"
        body = f"{text}; {name}\n".encode()
        return await fleet.call_operator_api("POST", target, body, OPERATOR_KEY)

    replies = await asyncio.gather(submit("kata"), submit("pali"))
    assert sorted(reply.status for reply in replies) == [200, 409]
    assert await read_revision(fleet) == 2


async def test_concurrent_submissions_are_all_accepted(start_fleet):
    """Guards against rejecting simultaneous submissions that the disk has room for."""
    fleet = await start_fleet(engines=1, entries=1)

    async def submit(number: int) -> Reply:
        name = f"stock-{number}"
        text = render_document("raktar.ini").replace("name = raktar", f"name = {name}")
        target = f"/v1/documents/{name}?base=0&submission={name}"
        return await fleet.call_operator_api("POST", target, text.encode())

    replies = await asyncio.gather(*map(submit, range(CHANGES)))
    rejected = [reply for reply in replies if reply.status != 200]
    assert not rejected, f"{len(rejected)} rejected, such as {rejected[0]}"
