"""Documents: accepted once, kept for ever, in force everywhere."""

import asyncio

from tests.processes.fleet import OPERATOR_KEY, Fleet, Reply, render_document

#: Changes submitted in the same moment.
CHANGES = 40


async def read_revision(fleet: Fleet) -> object:
    while True:
        reply = await fleet.operate("GET", "/v1/documents/mester")
        if reply.status == 200:
            return reply.value["revision"]
        await asyncio.sleep(0.1)


async def test_change_survives_every_control_replica(start_fleet):
    """All control replicas die right after a change was accepted."""
    fleet = await start_fleet(engines=1, entries=1)
    accepted = await fleet.submit("mester.ini", base=1, extra="; changed\n")
    for control in fleet.controls:
        control.kill()
    for control in fleet.controls:
        control.start()
    again = await fleet.submit("mester.ini", base=1, extra="; changed\n")
    assert again.value["revision"] == accepted.value["revision"] == 2
    assert await read_revision(fleet) == 2
    await fleet.wait_serving()


async def test_one_of_two_racing_operators_is_refused(start_fleet):
    """Two operators edit the same revision and submit at the same moment."""
    fleet = await start_fleet(engines=1, entries=1)
    text = (await fleet.operate("GET", "/v1/documents/mester")).value["text"]

    async def submit(name: str) -> Reply:
        target = f"/v1/documents/mester?base=1&submission={name}"
        body = f"{text}; {name}\n".encode()
        return await fleet.operate("POST", target, body, OPERATOR_KEY)

    replies = await asyncio.gather(submit("kata"), submit("pali"))
    assert sorted(reply.status for reply in replies) == [200, 409]
    assert await read_revision(fleet) == 2


async def test_changes_of_the_same_moment_are_all_accepted(start_fleet):
    """Many teams submit new services at once, and the disk has room for all."""
    fleet = await start_fleet(engines=1, entries=1)

    async def submit(number: int) -> Reply:
        name = f"stock-{number}"
        text = render_document("raktar.ini").replace("name = raktar", f"name = {name}")
        target = f"/v1/documents/{name}?base=0&submission={name}"
        return await fleet.operate("POST", target, text.encode())

    replies = await asyncio.gather(*map(submit, range(CHANGES)))
    refused = [reply for reply in replies if reply.status != 200]
    assert not refused, f"{len(refused)} refused, such as {refused[0]}"
