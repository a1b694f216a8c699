"""A fake link for tests that act as the peer program."""

import asyncio


class FakeLink:
    """Records sent messages, and yields those that a test puts into its inbox."""

    def __init__(self) -> None:
        self.closed = self.overdue = False
        self.sent: list = []
        self.inbox: asyncio.Queue = asyncio.Queue()

    def send(self, message) -> None:
        self.sent.append(message)

    async def receive(self):
        while True:
            yield await self.inbox.get()

    async def close(self) -> None:
        self.closed = True
