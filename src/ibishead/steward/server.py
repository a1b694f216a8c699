"""The steward program: its link server for gateways and its registry feed."""

import asyncio

from ibishead.clock import Clock
from ibishead.links import Link, LinkServer
from ibishead.messages import Hello, Message, Role
from ibishead.routing.feed import FEED_PACE, RegistryFeed
from ibishead.routing.messages import MemberKind, MemberRecord
from ibishead.steward.engine import Engine
from ibishead.steward.settings import StewardSettings
from ibishead.steward.steward import Steward

__all__ = ["StewardServer"]


class StewardServer:
    """Connects one steward to its gateways and registries."""

    def __init__(self, settings: StewardSettings, clock: Clock, engine: Engine) -> None:
        self._settings = settings
        member = MemberRecord(
            settings.host,
            MemberKind.STEWARD,
            settings.links.address,
            settings.links.port,
            settings.failure_domain,
            target=settings.engine,
        )
        self.feed = RegistryFeed(
            member,
            settings.registries,
            clock,
            on_routes=lambda routes: self._steward.update_routes(routes),
            on_message=self._handle_registry_message,
            on_link=lambda link: self._steward.greet_registry(link),
        )
        self._steward = Steward(
            settings.host,
            settings.failure_domain,
            settings.service,
            settings.engine,
            engine,
            self.feed,
            clock,
        )
        self._links = LinkServer(
            self._steward.serve_link,
            lambda: Hello(Role.AGENT, settings.host),
            clock,
            FEED_PACE,
        )
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Accept links from gateways and start sending orders to the engine."""
        await self._links.start(self._settings.links)
        self.feed.start()
        self._task = asyncio.create_task(self._steward.run())

    def list_gauges(self) -> dict[str, float]:
        """Return the current gauge values by name."""
        return {
            "registries_linked": len(self.feed.links),
            "routes_version": self.feed.version,
            **self._steward.list_gauges(),
        }

    async def stop(self) -> None:
        """Stop sending orders and close all links."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self.feed.stop()
        await self._links.stop()

    def _handle_registry_message(self, link: Link, message: Message) -> None:
        self._steward.handle_registry_message(link, message)
