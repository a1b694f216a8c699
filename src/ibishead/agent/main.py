"""The program ``ibishead-agent``."""

import asyncio
import fcntl
import logging
import os
from pathlib import Path

from ibishead.agent.agent import Agent
from ibishead.agent.pages import AgentPages
from ibishead.agent.registrar import ControlRegistrar
from ibishead.agent.target import TargetClient
from ibishead.clock import SystemClock
from ibishead.errors import ErrorCode, StorageFault
from ibishead.links import LinkServer
from ibishead.messages import TargetKind
from ibishead.process import wait_for_stop
from ibishead.settings import AgentSettings, load_agent_settings, write_port_file
from ibishead.startup import make_command
from ibishead.tls import make_server_context
from ibishead.web import WebServer

__all__ = ["main", "run_agent"]

logger = logging.getLogger(__name__)


async def run_agent(settings: AgentSettings) -> None:
    """Serve until a planned stop or until another agent has superseded this one.

    :raises StorageFault: another agent holds the lock of this host's slot.
    """
    lock = _lock_slot(settings.lock)
    clock = SystemClock()
    tls = None
    if settings.peer_tls is not None:
        tls = make_server_context(settings.peer_tls.pair, settings.peer_tls.ca)
    # The callbacks refer to the agent created below. No peer knows the port before that
    # agent has registered it.
    server = LinkServer(
        lambda link: agent.serve(link), lambda: agent.make_hello(), clock, tls=tls
    )
    bound = await server.start(settings.links.endpoint)
    client = TargetClient(
        settings.target_endpoint, settings.kind is TargetKind.ENGINE, clock
    )
    agent = Agent(settings, bound, client, clock)
    await agent.start()
    pages = AgentPages(agent.scheduler, agent.registrar, agent.metrics)
    http_tls = make_server_context(settings.http_tls) if settings.http_tls else None
    operator_server = WebServer(pages.handle, tls=http_tls)
    write_port_file(settings.links, bound.port)
    write_port_file(
        settings.operators,
        (await operator_server.start(settings.operators.endpoint)).port,
    )
    logger.info("agent started", extra={"address": str(bound)})
    await _wait_for_stop_or_successor(agent.registrar)
    logger.info("agent stopping")
    await agent.drain()
    await server.stop()
    await agent.stop()
    await operator_server.stop(grace=1.0)
    if lock is not None:
        os.close(lock)


async def _wait_for_stop_or_successor(registrar: ControlRegistrar) -> None:
    stop_tasks = [
        asyncio.create_task(wait_for_stop()),
        asyncio.create_task(registrar.superseded.wait()),
    ]
    await asyncio.wait(stop_tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in stop_tasks:
        task.cancel()


def _lock_slot(path: Path | None) -> int | None:
    # Two agents of one slot would both send commands to the target, and many targets do
    # not check the sender. A frozen agent keeps the lock: commands that it has queued
    # may still be sent when it resumes, so no other agent may start before its process
    # has ended.
    if path is None:
        return None
    handle = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        os.close(handle)
        raise StorageFault(
            f"another agent holds the lock {path}",
            "end that agent first, even if it appears frozen",
            code=ErrorCode.STORAGE_LOCKED,
        ) from error
    return handle


main = make_command(
    "agent",
    "Run the agent of one target, as its only client.",
    load_agent_settings,
    run_agent,
)
