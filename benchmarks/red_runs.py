"""Checks that the tests of each guard in the sources fail when it is removed.

Run with ``python -m benchmarks.red_runs``; it removes one guard at a time in a copy of
the tree, prints a line for each, and exits with status 1 if no test of a guard fails
without it.
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
COPIED_PATHS = ("src", "tests", "benchmarks", "demo", "pyproject.toml")

#: Seconds for the tests of one guard; a test that hangs without its guard has failed.
TIMEOUT_SECONDS = 120


@dataclass(frozen=True)
class Guard:
    """A safety check in the sources and the edit that removes it.

    :ivar name: description, by which a guard is selected on the command line.
    :ivar file: path of its file, relative to the package.
    :ivar old: text of the guard, which occurs exactly once in the file.
    :ivar new: text that replaces it.
    :ivar tests: tests of which one must fail without the guard.
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

KEEPER = "tests/registry/test_quotas.py"
CUSTOMERS = "tests/gateway/test_customer_requests.py"
REFUSALS = "tests/gateway/test_refusals_after_sends.py"
BROKEN = "tests/gateway/test_broken_exchanges.py"

GUARDS = (
    Guard(
        "accounts of quotas are not used while another host may keep them",
        "registry/quotas.py",
        "return accounts if accounts.is_certain(self._clock.monotonic()) else None",
        "return accounts",
        (f"{KEEPER}::test_accounts_of_an_earlier_time_are_not_used",),
    ),
    Guard(
        "accounts of quotas are credited for certain time only",
        "registry/quotas.py",
        "self._accounts.advance(led_until)",
        "self._accounts.advance(self._clock.monotonic())",
        (f"{KEEPER}::test_accounts_of_an_earlier_time_are_not_used",),
    ),
    Guard(
        "a credit is marked once until the mark is removed",
        "registry/state.py",
        "granted = self.credit_term == 0 and self._has_quotas()",
        "granted = self._has_quotas()",
        (
            "tests/registry/test_state.py"
            "::test_credit_is_granted_only_while_none_is_marked",
        ),
    ),
    Guard(
        "the mark of a credit is kept while a window may hold it",
        "registry/quotas.py",
        "age > self._tolerance.credit_pause",
        "age > 0",
        (f"{KEEPER}::test_mark_of_a_credit_is_removed_once_no_window_holds_it",),
    ),
    Guard(
        "requests are charged only after the log has answered about the credit",
        "registry/quotas.py",
        "accounts is None or not self._is_open or term",
        "accounts is None or term",
        (f"{KEEPER}::test_keeper_charges_nothing_before_the_log_has_answered",),
    ),
    Guard(
        "a keeper that has handed its accounts over charges no more",
        "registry/quotas.py",
        "or replica.core.term == self._ended_term",
        "or False",
        (
            f"{KEEPER}"
            "::test_keeper_that_hands_over_charges_no_more_and_sends_its_balances",
        ),
    ),
    Guard(
        "balances are handed over to the direct successor only",
        "registry/quotas.py",
        "if received is not None and received.term == self._term - 1:",
        "if received is not None:",
        (f"{KEEPER}::test_next_keeper_begins_with_the_balances_that_were_handed_over",),
    ),
    Guard(
        "an expired charge is renewed before the request is sent",
        "gateway/pipeline.py",
        "await self._renew_charge(request)",
        "pass",
        (f"{CUSTOMERS}::test_expired_charge_is_renewed_before_the_request_is_sent",),
    ),
    Guard(
        "a charge is given back only for a request that has not run",
        "gateway/pipeline.py",
        "not_run = not progress.may_have_run and not progress.exchange.started",
        "not_run = not progress.exchange.started",
        (
            f"{CUSTOMERS}"
            "::test_a_request_is_charged_once_and_given_back_if_it_has_not_run",
        ),
    ),
    Guard(
        "a request that may have run is not answered as not run",
        "gateway/pipeline.py",
        "if error.status not in NOT_RUN_STATUSES or not request.progress.may_have_run:",
        "if True:",
        (f"{REFUSALS}::test_no_source_of_refusals_answers_after_an_uncertain_send",),
    ),
    Guard(
        "a response head that is made of two is malformed",
        "framing.py",
        "if any(map(_STATUS_LINE.search, texts)):",
        "if False:",
        (f"{BROKEN}::test_only_a_whole_head_proves_that_a_request_has_not_run",),
    ),
    Guard(
        "several ids in a response name no request",
        "platform/targets.py",
        "named = ids.pop() if len(ids) == 1 else None",
        'named = find_header(headers, "request-id")',
        (f"{BROKEN}::test_only_a_whole_head_proves_that_a_request_has_not_run",),
    ),
    Guard(
        "no id is sent twice over one connection",
        "gateway/pool.py",
        "elif request not in connection.carried:",
        "else:",
        (
            "tests/gateway/test_late_responses.py"
            "::test_a_late_refusal_says_nothing_of_a_later_request_with_its_id",
        ),
    ),
    Guard(
        "no request of a closed connection is handled",
        "web.py",
        "if request is None or self._writer.is_closing():",
        "if request is None:",
        (
            "tests/test_web.py"
            "::test_a_request_read_while_its_connection_closes_is_not_handled",
        ),
    ),
    Guard(
        "targets are never sent a key or another customer's name",
        "platform/targets.py",
        "forwarded = (pair for pair in call.headers if pair[0] not in withheld)",
        "forwarded = iter(call.headers)",
        (f"{CUSTOMERS}::test_target_is_told_the_customer_and_never_the_key",),
    ),
    Guard(
        "newer routes are asked for before a key is refused",
        "gateway/directory.py",
        "if not await self._feed.refresh_routes(self._quotas.keeper):",
        "if True:",
        (f"{CUSTOMERS}::test_newer_routes_are_asked_for_before_a_request_is_rejected",),
    ),
    Guard(
        "a gateway that is cut off from the keeper asks through a steward",
        "gateway/quotas.py",
        "return self._find_relay() or keeper",
        "return keeper",
        (f"{CUSTOMERS}::test_gateway_that_is_cut_off_asks_through_a_steward",),
    ),
    Guard(
        "a gateway without the keeper of the quotas refuses at once",
        "gateway/quotas.py",
        "wait = min(wait, STALLED_WAIT_SECONDS if self._find_relay() else 0.0)",
        "pass",
        (f"{CUSTOMERS}::test_gateway_that_is_cut_off_from_the_keeper_refuses_at_once",),
    ),
    Guard(
        "an order is not sent under a claim grant that was given up",
        "entry/claims.py",
        "if answer.generation > last_released:",
        "if True:",
        (f"{CLAIMS}::test_request_is_not_sent_under_an_abandoned_grant",),
    ),
    Guard(
        "an answer to an earlier claim request does not answer the next one",
        "subscription.py",
        'return f"question/{message.question}"',
        'return f"question/{message.request}"',
        (f"{QUESTIONS}::test_duplicate_claim_answer_does_not_answer_the_next_request",),
    ),
    Guard(
        "an answer to an earlier run of a replica is ignored",
        "control/log/replica.py",
        "PendingQuestions(draw(FIRST_NUMBER_BOUND))",
        "PendingQuestions(0)",
        (
            "tests/control/test_replica.py"
            "::test_answer_from_before_a_restart_is_ignored",
        ),
    ),
    Guard(
        "attempts whose answers were lost release their batch slots",
        "agent/scheduler.py",
        "return stream_idle or overdue or attempt",
        "return stream_idle or attempt",
        (
            "tests/proofs/test_lost_answers.py"
            "::test_runs_without_answers_release_their_batch_places",
        ),
    ),
    Guard(
        "a stream that fell silent after its last token is completed",
        "agent/scheduler.py",
        "if attempt.finish_stream():",
        "if False:",
        (
            "tests/processes/test_silence.py"
            "::test_stream_that_falls_silent_before_its_end_is_not_cut",
        ),
    ),
    Guard(
        "an early election does not depose a leader",
        "control/agreement/election.py",
        "    if _has_live_leader(state) and not request.transfer:",
        "    if False:",
        ("tests/test_consensus.py::test_early_election_keeps_a_working_leader",),
    ),
    Guard(
        "loads queued at an engine without its model are counted",
        "decisions/choice.py",
        "return adapter.model_wait + _estimate_load_delay(adapter, rank)",
        "return adapter.model_wait + LOAD_DELAY",
        (
            "tests/decisions/test_choice.py"
            "::test_restarting_engine_gets_no_more_than_it_can_load_in_time",
        ),
    ),
    Guard(
        "run time is not counted for an engine that runs requests in batches",
        "decisions/choice.py",
        "    if need.weights is None:\n        # An engine runs",
        "    if True:\n        # An engine runs",
        ("tests/decisions/test_choice.py::test_busy_engine_with_adapter_is_preferred",),
    ),
    Guard(
        "concurrent loads follow the speed of the store",
        "decisions/loadpace.py",
        "if seconds > SLOW_RATIO * self._median:",
        "if False:",
        ("tests/decisions/test_loadpace.py::test_concurrent_loads_follow_store_speed",),
    ),
    Guard(
        "the adapter that serves most callers is loaded first",
        "decisions/residents.py",
        "key=lambda d: (d.served, -d.rank, -d.granted, d.due)",
        "key=lambda d: (0, -d.due)",
        (
            "tests/decisions/test_residents.py"
            "::test_loads_that_serve_callers_in_time_go_first",
            "tests/decisions/test_loadpace.py"
            "::test_learned_limit_serves_more_callers_when_all_engines_load",
        ),
    ),
    Guard(
        "connections in the backlog are accepted at a planned stop",
        "web.py",
        "        queued = _accept_queued(self._listener)\n",
        "        queued = []\n",
        ("tests/test_web.py::test_a_request_that_came_before_a_stop_is_answered",),
    ),
    Guard(
        "an abandoned request is reset",
        "gateway/connection.py",
        "            if self._in_exchange:\n                reset",
        "            if False:\n                reset",
        (
            "tests/gateway/test_connection.py"
            "::test_an_abandoned_request_resets_the_connection",
        ),
    ),
    Guard(
        "an unresponsive host is not chosen",
        "gateway/tracker.py",
        "(steward_unresponsive and not self.is_responsive(stats, now)),\n",
        "False,\n",
        (
            "tests/gateway/test_tracker.py"
            "::test_an_engine_with_an_unresponsive_steward_counts_while_it_sends_data",
        ),
    ),
    Guard(
        "no request is sent to an unresponsive host",
        "gateway/choosing.py",
        "and adapter.resident\n            and self._is_engine_responsive(target)",
        "and adapter.resident",
        (
            "tests/gateway/test_pipeline.py"
            "::test_a_request_is_refused_if_the_only_host_is_frozen",
        ),
    ),
    Guard(
        "an engine of another service is not named",
        "steward/naming.py",
        "        if not _serves(state, service.engine):\n",
        "        if False:\n",
        (
            "tests/steward/test_steward.py"
            "::test_unregistered_engine_is_registered_by_its_steward",
        ),
    ),
    Guard(
        "a pinned adapter is not evicted",
        "agent/slots.py",
        "if slot.pins or slot.orphaned_pins:",
        "if False:",
        (f"{SLOTS}::test_pinned_adapter_is_not_evicted",),
    ),
    Guard(
        "a pin is held until the engine reports that the request ended",
        "agent/slots.py",
        "        if not ended:\n",
        "        if False:\n",
        (f"{SLOTS}::test_disconnected_caller_doesnt_release_the_adapter",),
    ),
    Guard(
        "one sample is not enough to release a pin",
        "agent/slots.py",
        "RELEASE_SAMPLES = 2",
        "RELEASE_SAMPLES = 1",
        (f"{SLOTS}::test_disconnected_caller_doesnt_release_the_adapter",),
    ),
    Guard(
        "a restarted agent pins resident adapters",
        "agent/slots.py",
        "_Slot(SlotState.RESIDENT, orphaned_pins=1, last_used=now)",
        "_Slot(SlotState.RESIDENT, last_used=now)",
        (f"{SLOTS}::test_restarted_agent_pins_resident_adapters",),
    ),
    Guard(
        "a load of an earlier boot is ignored",
        "agent/slots.py",
        "slot = self._slots.get(key)\n        if boot != self.boot or slot is None:\n"
        "            return\n        if loaded:",
        "slot = self._slots.setdefault(key, _Slot(SlotState.LOADING))\n"
        "        if loaded:",
        (f"{SLOTS}::test_load_of_an_earlier_boot_is_ignored",),
    ),
    Guard(
        "an answer must name the requested adapter",
        "agent/runner.py",
        "if answer.status == 200 and not _matches_adapter(attempt, payload):",
        "if False:",
        ("tests/agent/test_runner.py::test_answer_of_another_model_is_not_delivered",),
    ),
    Guard(
        "an attempt with a tombstone never runs",
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
        "a draining target refuses dispatches",
        "agent/gate.py",
        "if state.draining:",
        "if False:",
        (f"{GATE}::test_gate_decides",),
    ),
    Guard(
        "an outdated document is refused and the newer one is sent",
        "agent/gate.py",
        "if document is not None and dispatch.revision < document.revision:",
        "if False and document is not None:",
        (
            f"{GATE}::test_stale_entry_gets_the_newer_document",
            f"{PROMISES}::test_document_change_reaches_every_host_and_stays",
        ),
    ),
    Guard(
        "no attempt runs without a lease on either side",
        "agent/gate.py",
        "if unconfirmed_run and state.unconfirmed is UnconfirmedPolicy.REFUSE:",
        "if False:",
        (f"{GATE}::test_gate_decides",),
    ),
    Guard(
        "a new agent does not vouch for the previous one",
        "agent/reception.py",
        "elif self._is_own(resume.incarnation) and self._gate.add_tombstone(key):",
        "elif self._gate.add_tombstone(key):",
        (f"{PROMISES}::test_restarted_agent_reports_no_outcome_of_earlier_requests",),
    ),
    Guard(
        "a document revision never decreases",
        "catalog.py",
        "if held is not None and held.record.revision >= record.revision:",
        "if False:",
        ("tests/test_catalog.py::test_revision_never_goes_down",),
    ),
    Guard(
        "a lease starts when the report is sent",
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
        "frames are delivered once",
        "session.py",
        "if frame.sequence >= self.next_sequence:\n"
        "            self._out_of_order.setdefault(frame.sequence, frame)\n"
        "        ready = []",
        "self._out_of_order.setdefault(frame.sequence, frame)\n        ready = [frame]",
        ("tests/test_session.py::test_frames_are_delivered_once_and_in_order",),
    ),
    Guard(
        "an unknown outcome is remembered for the whole request",
        "entry/dispatching.py",
        "job.may_have_run |= result.outcome is Outcome.UNKNOWN",
        "pass",
        (f"{PROMISES}::test_request_that_may_have_run_is_not_reported_as_not_run",),
    ),
    Guard(
        "the outcome of a cancelled attempt is requested",
        "entry/dispatching.py",
        "                    if isinstance(event, NotRun):\n",
        "                    if False:\n",
        (f"{PROMISES}::test_request_that_waited_until_its_deadline",),
    ),
    Guard(
        "a request that becomes non-idempotent takes a claim",
        "entry/dispatching.py",
        "                if not job.resolved.request_class.idempotent:\n",
        "                if False:\n",
        (f"{PROMISES}::test_request_that_becomes_protected",),
    ),
    Guard(
        "a non-idempotent request takes a claim before dispatch",
        "entry/pipeline.py",
        "else self._claimed_runner.run",
        "else self._dispatcher.run",
        (f"{PROMISES}::test_guarantees_hold_under_any_schedule",),
    ),
    Guard(
        "a planned stop completes running attempts",
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
        "permit requests reach the leader",
        "control/granting.py",
        "if is_final or leader is None or not self._forward(leader, request):",
        "if True:",
        ("tests/control/test_group.py::test_permit_comes_through_a_follower",),
    ),
    Guard(
        "targets of a dead replica are retired",
        "control/upkeep.py",
        "return not is_leader or self._relay.is_connected(member.replica)",
        "return True",
        (
            "tests/control/test_group.py::"
            "test_target_that_dies_with_its_replica_is_retired",
        ),
    ),
    Guard(
        "a frozen process doesn't blame its peer",
        "session.py",
        "if suspended:",
        "if False:",
        (
            "tests/test_links.py::test_own_suspension_is_not_counted_as_silence_of_the_peer",
        ),
    ),
)


@click.command()
@click.argument("names", nargs=-1)
def main(names: tuple[str, ...]) -> None:
    """Remove each guard whose name contains one of NAMES, or each guard."""
    selected = [
        guard
        for guard in GUARDS
        if not names or any(name in guard.name for name in names)
    ]
    passed = [guard for guard in selected if not _is_red(guard)]
    click.echo(
        f"{len(selected) - len(passed)} red, {len(passed)} green without the guard"
    )
    sys.exit(bool(passed))


def _is_red(guard: Guard) -> bool:
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for name in COPIED_PATHS:
            _copy(ROOT / name, copy / name)
        _remove_guard(guard, copy / "src" / "ibishead" / guard.file)
        command = [sys.executable, "-m", "pytest", "-q", "-x"]
        pattern = " or ".join(test.split("::")[-1] for test in guard.tests)
        files = sorted({test.split("::")[0] for test in guard.tests})
        command += ["-k", pattern, *files]
        try:
            result = subprocess.run(
                command,
                cwd=copy,
                capture_output=True,
                text=True,
                timeout=TIMEOUT_SECONDS,
            )
        except subprocess.TimeoutExpired:
            click.echo(f"red (hung): {guard.name}")
            return True
    # Status 1 means a failed test; any other, that no test was collected or run.
    red = result.returncode == 1
    failed = [line for line in result.stdout.splitlines() if line.startswith("FAILED")]
    click.echo(f"{'red' if red else 'GREEN'}: {guard.name}: {' '.join(failed)[:110]}")
    return red


def _copy(source: Path, target: Path) -> None:
    if source.is_dir():
        shutil.copytree(source, target, ignore=shutil.ignore_patterns("__pycache__"))
    else:
        shutil.copy(source, target)


def _remove_guard(guard: Guard, path: Path) -> None:
    text = path.read_text()
    if text.count(guard.old) != 1:
        raise click.ClickException(
            f"{guard.file} must contain {guard.old!r} exactly once"
        )
    path.write_text(text.replace(guard.old, guard.new))


if __name__ == "__main__":
    main()
