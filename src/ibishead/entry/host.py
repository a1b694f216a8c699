"""Assembly of an entry host from its components, without listening sockets."""

import random

from ibishead.clock import Clock
from ibishead.entry.agents import AgentPool
from ibishead.entry.blocking import MessageBlocks
from ibishead.entry.dispatching import Dispatcher
from ibishead.entry.pages import OperatorPages
from ibishead.entry.pipeline import Pipeline
from ibishead.entry.placing import Placer
from ibishead.links import Dialer, dial
from ibishead.messages import Hello, Role
from ibishead.metrics import Metrics
from ibishead.settings import EntrySettings
from ibishead.subscription import Subscription
from ibishead.tls import make_client_context

__all__ = ["EntryHost"]


class EntryHost:
    """Serves callers and operators at one entry host.

    :param rng: random numbers that break ties and spread load.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        rng: random.Random,
        dialer: Dialer = dial,
    ) -> None:
        hello = Hello(Role.ENTRY, settings.host)
        tls = make_client_context(settings.peer_tls) if settings.peer_tls else None
        placer = Placer(clock, settings.failure_domain, rng)
        blocks = MessageBlocks(clock, rng.random)
        self._pool = AgentPool(
            lambda: hello,
            clock,
            tls,
            dialer,
            observer=placer,
            on_crash=blocks.record_crash,
        )
        self.subscription = Subscription(
            settings.control,
            lambda: hello,
            clock,
            on_change=self._follow_targets,
            tls=tls,
            start_at=rng.randrange(len(settings.control)),
            dialer=dialer,
        )
        metrics = Metrics("entry")
        catalog = self.subscription.catalog
        dispatcher = Dispatcher(self._pool, catalog, clock, placer, blocks)
        self.pipeline = Pipeline(self.subscription, dispatcher, placer, clock, metrics)
        self.pages = OperatorPages(self.subscription, self.pipeline.traces, metrics)

    def start(self) -> None:
        """Start to follow control and, through its catalog, the agents."""
        self.subscription.start()

    async def stop(self) -> None:
        """Close all links; attempts that are still open on them are lost."""
        await self._pool.stop()
        await self.subscription.stop()

    def _follow_targets(self) -> None:
        self._pool.follow_targets(self.subscription.catalog.list_targets())
