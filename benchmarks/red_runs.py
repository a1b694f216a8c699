"""Take each guard out, one at a time, and see its tests fail.

Run with ``python -m benchmarks.red_runs``; it works on a copy of the tree, prints a
line for each guard, and ends with status 1 when a test stays green without its guard.
"""

import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import click

__all__ = ["GUARDS", "Guard", "main"]

ROOT = Path(__file__).resolve().parents[1]
COPIED = ("src", "tests", "benchmarks", "demo", "pyproject.toml")

#: Seconds for the tests of one guard; one that hangs without its guard counts as red.
LIMIT = 120


@dataclass(frozen=True)
class Guard:
    """A guard and how to take it out.

    :param old: text of the guard, which stands once in the file.
    :param new: what stands there without it.
    :param tests: what must fail then.
    """

    name: str
    file: str
    old: str
    new: str
    tests: tuple[str, ...]


PROMISES = "tests/proofs/test_promises.py"
SLOTS = "tests/agent/test_slots.py"
GATE = "tests/agent/test_gate.py"

CLAIMS = "tests/proofs/test_claims.py"
QUESTIONS = "tests/entry/test_questions.py"

GUARDS = (
    Guard(
        "an order isn't sent under a grant that was given up",
        "entry/claims.py",
        "if answer.generation > last_released:",
        "if True:",
        (f"{CLAIMS}::test_request_is_not_sent_under_an_abandoned_grant",),
    ),
    Guard(
        "an earlier answer about a claim is none to the next ask",
        "subscription.py",
        'return f"question/{message.question}"',
        'return f"question/{message.request}"',
        (f"{QUESTIONS}::test_duplicate_claim_answer_does_not_answer_the_next_request",),
    ),
    Guard(
        "an answer to an earlier life of a replica is none to this one",
        "control/replica.py",
        "Answers(draw(NUMBERS))",
        "Answers(0)",
        (
            "tests/control/test_replica.py"
            "::test_answer_to_an_earlier_life_is_none_to_this_one",
        ),
    ),
    Guard(
        "runs without answers leave their places in the batch",
        "agent/scheduler.py",
        "return stream_idle or overdue or attempt",
        "return stream_idle or attempt",
        (
            "tests/proofs/test_lost_answers.py"
            "::test_runs_without_answers_release_their_batch_places",
        ),
    ),
    Guard(
        "a stream whose text is whole is completed",
        "agent/scheduler.py",
        "if attempt.finish_stream():",
        "if False:",
        (
            "tests/processes/test_silence.py"
            "::test_stream_that_falls_silent_before_its_end_is_not_cut",
        ),
    ),
    Guard(
        "haste in elections deposes nobody",
        "control/election.py",
        "    if _hears_leader(state) and not request.transfer:",
        "    if False:",
        ("tests/test_consensus.py::test_haste_leaves_a_leader_alone",),
    ),
    Guard(
        "loads that wait at an engine without its model count",
        "decisions/choice.py",
        "return adapter.model_wait + _estimate_load_delay(adapter, rank)",
        "return adapter.model_wait + LOAD_DELAY",
        (
            "tests/decisions/test_choice.py"
            "::test_restarting_engine_gets_no_more_than_it_can_load_in_time",
        ),
    ),
    Guard(
        "run time isn't counted against an engine that answers a batch",
        "decisions/choice.py",
        "    if need.weights is None:\n        # An engine runs",
        "    if True:\n        # An engine runs",
        ("tests/decisions/test_choice.py::test_busy_engine_with_adapter_is_preferred",),
    ),
    Guard(
        "loads at once follow the store",
        "decisions/loadpace.py",
        "if seconds > SLOW_RATIO * self._median:",
        "if False:",
        ("tests/decisions/test_loadpace.py::test_concurrent_loads_follow_store_speed",),
    ),
    Guard(
        "what helps most callers is loaded first",
        "decisions/residents.py",
        "key=lambda d: (d.served, d.due)",
        "key=lambda d: (0, -d.due)",
        (
            "tests/decisions/test_residents.py"
            "::test_loads_that_serve_callers_in_time_go_first",
            "tests/decisions/test_loadpace.py"
            "::test_learned_limit_serves_more_callers_when_all_engines_load",
        ),
    ),
    Guard(
        "what waits to be accepted at a planned stop is taken",
        "web.py",
        "        waiting = _accept_waiting(self._listener)\n",
        "        waiting = []\n",
        ("tests/test_web.py::test_a_request_that_came_before_a_stop_is_answered",),
    ),
    Guard(
        "a request that nobody waits for is reset",
        "gateway/connection.py",
        "            if self._in_exchange:\n                reset",
        "            if False:\n                reset",
        (
            "tests/gateway/test_connection.py"
            "::test_an_abandoned_request_resets_the_connection",
        ),
    ),
    Guard(
        "a host that stands still is passed over",
        "gateway/tracker.py",
        "(steward_unresponsive and not self.is_responsive(stats, now)),\n",
        "False,\n",
        (
            "tests/gateway/test_tracker.py"
            "::test_an_engine_with_an_unresponsive_steward_counts_while_it_sends_data",
        ),
    ),
    Guard(
        "nothing is sent to a host that stands still",
        "gateway/choosing.py",
        "and adapter.resident\n            and self._is_engine_responsive(target)",
        "and adapter.resident",
        (
            "tests/gateway/test_pipeline.py"
            "::test_a_request_is_refused_if_the_only_host_is_frozen",
        ),
    ),
    Guard(
        "an engine of another service isn't named",
        "steward/naming.py",
        "        if not _serves(state, service.engine):\n",
        "        if False:\n",
        (
            "tests/steward/test_steward.py"
            "::test_an_engine_that_nobody_has_heard_of_is_named",
        ),
    ),
    Guard(
        "pinned slots stay",
        "agent/slots.py",
        "if slot.pins or slot.orphaned_pins:",
        "if False:",
        (f"{SLOTS}::test_pinned_adapter_is_not_evicted",),
    ),
    Guard(
        "a pin lingers until the engine shows its end",
        "agent/slots.py",
        "        if not ended:\n",
        "        if False:\n",
        (f"{SLOTS}::test_disconnected_caller_doesnt_release_the_adapter",),
    ),
    Guard(
        "one sample doesn't end a lingering pin",
        "agent/slots.py",
        "RELEASE_SAMPLES = 2",
        "RELEASE_SAMPLES = 1",
        (f"{SLOTS}::test_disconnected_caller_doesnt_release_the_adapter",),
    ),
    Guard(
        "a restarted agent pins what it finds",
        "agent/slots.py",
        "_Slot(SlotState.RESIDENT, orphaned_pins=1, last_used=now)",
        "_Slot(SlotState.RESIDENT, last_used=now)",
        (f"{SLOTS}::test_restarted_agent_pins_resident_adapters",),
    ),
    Guard(
        "a load of a former boot counts for nothing",
        "agent/slots.py",
        "slot = self._slots.get(key)\n        if boot != self.boot or slot is None:\n"
        "            return\n        if loaded:",
        "slot = self._slots.setdefault(key, _Slot(SlotState.LOADING))\n"
        "        if loaded:",
        (f"{SLOTS}::test_load_of_an_earlier_boot_is_ignored",),
    ),
    Guard(
        "an answer names the adapter that was asked for",
        "agent/runner.py",
        "if answer.status == 200 and not _matches_adapter(attempt, payload):",
        "if False:",
        ("tests/agent/test_runner.py::test_answer_of_another_model_is_not_delivered",),
    ),
    Guard(
        "an attempt that was given up never runs",
        "agent/gate.py",
        "if admitted is False:",
        "if False:",
        (f"{GATE}::test_attempt_with_a_tombstone_never_runs",),
    ),
    Guard(
        "a repeated dispatch is not run again",
        "agent/gate.py",
        "        if admitted:\n",
        "        if False:\n",
        (f"{GATE}::test_attempt_runs_once_however_often_it_is_dispatched",),
    ),
    Guard(
        "a dispatch for another incarnation is refused",
        "agent/gate.py",
        "if dispatch.incarnation != state.incarnation:",
        "if False:",
        (f"{GATE}::test_gate_decides",),
    ),
    Guard(
        "a leaving target refuses",
        "agent/gate.py",
        "if state.draining:",
        "if False:",
        (f"{GATE}::test_gate_decides",),
    ),
    Guard(
        "an old document is refused and replaced",
        "agent/gate.py",
        "if document is not None and dispatch.revision < document.revision:",
        "if False and document is not None:",
        (
            f"{GATE}::test_stale_entry_gets_the_newer_document",
            f"{PROMISES}::test_document_change_reaches_every_host_and_stays",
        ),
    ),
    Guard(
        "no lease on either side, no run",
        "agent/gate.py",
        "if unconfirmed_run and state.unconfirmed is Unconfirmed.REFUSE:",
        "if False:",
        (f"{GATE}::test_gate_decides",),
    ),
    Guard(
        "a new agent proves nothing",
        "agent/reception.py",
        "elif self._is_own(resume.incarnation) and self._gate.add_tombstone(key):",
        "elif self._gate.add_tombstone(key):",
        (f"{PROMISES}::test_restarted_agent_reports_no_outcome_of_earlier_requests",),
    ),
    Guard(
        "a revision never goes down",
        "catalog.py",
        "if held is not None and held.record.revision >= record.revision:",
        "if False:",
        ("tests/test_catalog.py::test_revision_never_goes_down",),
    ),
    Guard(
        "a lease counts from the asking",
        "catalog.py",
        "min(sent, now) + publish.lease",
        "now + publish.lease",
        ("tests/test_catalog.py::test_lease_counts_from_the_report",),
    ),
    Guard(
        "open attempts are resumed on the next link",
        "entry/agents.py",
        "for channel in self._list_open():\n            # The old",
        "for channel in ():\n            # The old",
        (f"{PROMISES}::test_stream_is_resumed_after_its_link_is_lost",),
    ),
    Guard(
        "frames that came are not delivered again",
        "session.py",
        "if frame.sequence >= self.next_sequence:\n"
        "            self._early.setdefault(frame.sequence, frame)\n        ready = []",
        "self._early.setdefault(frame.sequence, frame)\n        ready = [frame]",
        ("tests/test_session.py::test_frames_come_once_and_in_order",),
    ),
    Guard(
        "doubt belongs to the request",
        "entry/dispatching.py",
        "job.may_have_run |= result.outcome is Outcome.UNKNOWN",
        "pass",
        (f"{PROMISES}::test_request_that_may_have_run_is_not_reported_as_not_run",),
    ),
    Guard(
        "a cancelled attempt is asked for its verdict",
        "entry/dispatching.py",
        "                    if isinstance(event, NotRun):\n",
        "                    if False:\n",
        (f"{PROMISES}::test_request_that_waited_until_its_deadline",),
    ),
    Guard(
        "a request that becomes protected takes a claim",
        "entry/dispatching.py",
        "                if not job.resolved.request_class.idempotent:\n",
        "                if False:\n",
        (f"{PROMISES}::test_request_that_becomes_protected",),
    ),
    Guard(
        "a protected request is claimed first",
        "entry/pipeline.py",
        "else self._claimed_runner.run",
        "else self._dispatcher.run",
        (f"{PROMISES}::test_guarantees_hold_under_any_schedule",),
    ),
    Guard(
        "a planned stop finishes what runs",
        "agent/scheduler.py",
        "while self._list_unfinished() or self._has_undelivered_frames():",
        "while False:",
        (f"{PROMISES}::test_draining_target_gets_no_new_requests_and_interrupts_none",),
    ),
    Guard(
        "a leader without its quorum grants no permit",
        "control/granting.py",
        "return self._replica.is_leader() and self._replica.lease() > 0",
        "return self._replica.is_leader()",
        (
            "tests/control/test_granting.py::"
            "test_leader_that_lost_its_quorum_grants_nothing",
        ),
    ),
    Guard(
        "asks for permits reach the leader",
        "control/granting.py",
        "if stays or leader is None or not self._forward(leader, ask):",
        "if True:",
        ("tests/control/test_group.py::test_permit_comes_through_a_follower",),
    ),
    Guard(
        "targets of a dead replica are retired",
        "control/upkeep.py",
        "return not leads or self._relay.reaches(member.replica)",
        "return True",
        (
            "tests/control/test_group.py::"
            "test_target_that_dies_with_its_replica_is_retired",
        ),
    ),
    Guard(
        "a frozen process doesn't blame its peer",
        "session.py",
        "if frozen:",
        "if False:",
        ("tests/test_links.py::test_monitor_doesnt_blame_the_peer_for_its_own_freeze",),
    ),
)


@click.command()
@click.argument("names", nargs=-1)
def main(names: tuple[str, ...]) -> None:
    """Take out the guards whose names contain one of NAMES, or all."""
    chosen = [g for g in GUARDS if not names or any(n in g.name for n in names)]
    green = [guard for guard in chosen if not _is_red(guard)]
    click.echo(f"{len(chosen) - len(green)} red, {len(green)} green without the guard")
    sys.exit(bool(green))


def _is_red(guard: Guard) -> bool:
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for name in COPIED:
            _copy(ROOT / name, copy / name)
        _take_out(guard, copy / "src" / "ibishead" / guard.file)
        command = [sys.executable, "-m", "pytest", "-q", "-x"]
        pattern = " or ".join(test.split("::")[-1] for test in guard.tests)
        files = sorted({test.split("::")[0] for test in guard.tests})
        command += ["-k", pattern, *files]
        try:
            done = subprocess.run(
                command, cwd=copy, capture_output=True, text=True, timeout=LIMIT
            )
        except subprocess.TimeoutExpired:
            click.echo(f"red (hung): {guard.name}")
            return True
    # Status 1 is a failed test; others mean that nothing was collected or run
    red = done.returncode == 1
    failed = [x for x in done.stdout.splitlines() if x.startswith("FAILED")]
    click.echo(f"{'red' if red else 'GREEN'}: {guard.name}: {' '.join(failed)[:110]}")
    return red


def _copy(source: Path, target: Path) -> None:
    if source.is_dir():
        shutil.copytree(source, target, ignore=shutil.ignore_patterns("__pycache__"))
    else:
        shutil.copy(source, target)


def _take_out(guard: Guard, path: Path) -> None:
    text = path.read_text()
    if text.count(guard.old) != 1:
        raise click.ClickException(f"{guard.file} doesn't hold {guard.old!r} once")
    path.write_text(text.replace(guard.old, guard.new))


if __name__ == "__main__":
    main()
