"""Steps of the scenarios about guarantees under faults."""

import json
import signal
import time
from pathlib import Path
from typing import Any

from behave import given, then, when

from features.caller import Caller, stream_in_background
from features.fleet import Fleet, request, wait_until

TREE = Path(__file__).resolve().parent.parent / "tree.yaml"
SLOW_ENGINE_SETTINGS = '{"prefill_tokens_per_s": 4000, "token_ms": 25, "max_batch": 4}'


def start_fleet(
    context: Any,
    engine_count: int,
    service_count: int,
    entry_count: int,
    **options: Any,
) -> None:
    context.fleet = Fleet(
        engine_count=engine_count,
        service_count=service_count,
        entry_count=entry_count,
        tree=TREE.read_text(),
        **options,
    )
    context.fleet.start()


@given(
    "a fleet of {engine_count:d} {engine_kind}, {service_count:d} services "
    "and {entry_count:d} {entry_kind}"
)
def start_given_fleet(
    context: Any,
    engine_count: int,
    engine_kind: str,
    service_count: int,
    entry_count: int,
    entry_kind: str,
) -> None:
    start_fleet(
        context,
        engine_count,
        service_count,
        entry_count,
        has_relays="network" in entry_kind,
        engine_settings=SLOW_ENGINE_SETTINGS if "slow" in engine_kind else "",
    )


@when('"{entry}" streams job "{job}" of {tokens:d} tokens in tier "{tier}"')
def stream_job(context: Any, entry: str, job: str, tokens: int, tier: str) -> None:
    caller = stream_in_background(context.fleet, entry, job, tokens=tokens, tier=tier)
    context.callers[job] = caller
    wait_until(lambda: caller.chunk_count > 2, f"{job} streams")


@when('the sidecar that runs "{job}" is killed')
def kill_running_sidecar(context: Any, job: str) -> None:
    """Kill every sidecar with a running request; `job` must be the only one."""
    for name, member in context.fleet.members.items():
        if name.startswith("sidecar") and context.fleet.status(name)["running"]:
            member.kill()


@then('the caller of "{job}" receives outcome "{outcome}"')
def receives_outcome(context: Any, job: str, outcome: str) -> None:
    assert context.callers[job].result().error()["outcome"] == outcome


@then('job "{job}" began {count:d} time')
def job_began(context: Any, job: str, count: int) -> None:
    assert context.fleet.run_count(job) == count, context.fleet.run_count(job)


@when('"{entry}" is sent tag "{job}" with a ticket and freezes')
def send_tag_and_freeze(context: Any, entry: str, job: str) -> None:
    fleet = context.fleet
    context.ticket = fleet.create_ticket(entry)
    for name in ("target-2", "target-3"):
        fleet.set_target_fault(name, slow=20.0)
    context.callers["first"] = Caller(
        fleet.call_tag_service, entry, job, context.ticket
    )
    wait_until(lambda: fleet.run_count(job) == 1, "the first try runs")
    fleet.members[entry].send_signal(signal.SIGSTOP)


@when('"{entry}" is sent tag "{job}" with the same ticket')
def send_tag_again(context: Any, entry: str, job: str) -> None:
    caller = Caller(context.fleet.call_tag_service, entry, job, context.ticket)
    context.callers["second"] = caller
    caller.result()


@when('"{entry}" resumes')
def resume(context: Any, entry: str) -> None:
    context.fleet.members[entry].send_signal(signal.SIGCONT)


@then('every caller of "{job}" is answered or receives outcome "{outcome}"')
def answered_or_outcome(context: Any, job: str, outcome: str) -> None:
    for caller in context.callers.values():
        reply = caller.result()
        if reply.status != 200:
            assert reply.error()["outcome"] == outcome, reply


@when('{count:d} jobs of tier "{tier}" are streamed through "{entry}"')
def stream_jobs(context: Any, count: int, tier: str, entry: str) -> None:
    fleet = context.fleet
    for number in range(count):
        job = f"{tier}-{number}"
        caller = stream_in_background(fleet, entry, job, tokens=200, tier=tier)
        context.callers[job] = caller
    wait_until(lambda: len(fleet.run_counts()) >= 4, f"{tier} jobs run")

    def have_all_arrived() -> bool:
        ended_callers = [
            caller for caller in context.callers.values() if caller.ended_at_s
        ]
        return len(fleet.status(entry)["in_flight"]) + len(ended_callers) >= count

    wait_until(have_all_arrived, f"{tier} jobs arrived")


@when('the sidecar "{name}" freezes')
def freeze_sidecar(context: Any, name: str) -> None:
    context.fleet.members[name].send_signal(signal.SIGSTOP)


@when('"{entry}" suspects "{sidecar}"')
def suspects_sidecar(context: Any, entry: str, sidecar: str) -> None:
    def is_suspect() -> bool:
        targets = context.fleet.status(entry)["targets"]
        return any(item["name"] == sidecar and item["suspect"] for item in targets)

    wait_until(is_suspect, f"{entry} suspects {sidecar}")


@when('{count:d} jobs of tier "{tier}" are requested through "{entry}"')
def request_many(context: Any, count: int, tier: str, entry: str) -> None:
    callers = {
        f"{tier}-ask-{number}": Caller(
            context.fleet.request_completion,
            entry,
            f"{tier}-ask-{number}",
            tier=tier,
        )
        for number in range(count)
    }
    context.replies = {job: caller.result() for job, caller in callers.items()}
    context.replied_at_s = {job: caller.ended_at_s for job, caller in callers.items()}


@then(
    'all {count:d} urgent jobs are answered completely or receive outcome "{outcome}"'
)
def urgent_jobs_answered(context: Any, count: int, outcome: str) -> None:
    replies = context.replies
    assert len(replies) == count
    answered_count = 0
    for job, reply in replies.items():
        if reply.status == 200:
            assert reply.words() == [f"{job}-{number}" for number in range(5)]
            answered_count += 1
        else:
            assert reply.error()["outcome"] == outcome, reply
    assert answered_count >= 1


@then("no urgent job is refused")
def no_urgent_job_refused(context: Any) -> None:
    outcomes = [reply.error().get("outcome") for reply in context.replies.values()]
    assert "not_run" not in outcomes, outcomes


@when("all connections to the sidecars are cut")
def cut_connections(context: Any) -> None:
    for relay in context.fleet.relays.values():
        relay.cut()


@then('the caller of "{job}" receives all {count:d} words')
def receives_all_words(context: Any, job: str, count: int) -> None:
    reply = context.callers[job].result()
    words = reply.words()
    assert words == [f"{job}-{number}" for number in range(count)], (
        len(words),
        reply.error(),
    )


@when('target "{name}" is killed')
def kill_target(context: Any, name: str) -> None:
    fleet = context.fleet
    context.killed_target_runs = fleet.target_runs(name)["begun"]
    fleet.members[name].kill()
    del fleet.members[name]


@then('every job with outcome "{outcome}" began {count:d} times')
def outcome_and_began(context: Any, outcome: str, count: int) -> None:
    """Assert the run count, over the targets that were not killed."""
    run_counts = context.fleet.run_counts()
    for job, reply in context.replies.items():
        if reply.error().get("outcome") == outcome:
            assert run_counts.get(job, 0) == count, job


@then("every answered job began {count:d} time")
def answered_jobs_began(context: Any, count: int) -> None:
    run_counts = context.fleet.run_counts()
    answered_jobs = [
        job for job, reply in context.replies.items() if reply.status == 200
    ]
    assert answered_jobs
    for job in answered_jobs:
        assert run_counts.get(job, 0) == count, job


@when(
    "the same tag is sent {count:d} times through both entries at once, "
    "while every sidecar is frozen for 1 second"
)
def send_tag_concurrently(context: Any, count: int) -> None:
    fleet = context.fleet
    time.sleep(5)  # sidecars refuse keys that were stamped before they started
    context.idempotency_key = fleet.make_key()
    entries = ["entry-1", "entry-2"]
    callers = [
        Caller(
            fleet.call_tag_service, entries[number % 2], "seat", context.idempotency_key
        )
        for number in range(count)
    ]
    for name in ("sidecar-1", "sidecar-2", "sidecar-3"):
        fleet.members[name].send_signal(signal.SIGSTOP)
    time.sleep(1)
    for name in ("sidecar-1", "sidecar-2", "sidecar-3"):
        fleet.members[name].send_signal(signal.SIGCONT)
    context.replies = {
        str(number): caller.result() for number, caller in enumerate(callers)
    }


@then("the tag ran at most {count:d} time")
def ran_at_most(context: Any, count: int) -> None:
    assert context.fleet.run_count("seat") <= count
    for reply in context.replies.values():
        assert reply.status == 200 or reply.error()["outcome"] == "unknown", reply


@then("a later repeat with the same key does not run it again")
def later_repeat(context: Any) -> None:
    reply = context.fleet.call_tag_service("entry-2", "seat", context.idempotency_key)
    assert reply.status == 200, reply
    assert context.fleet.run_count("seat") == 1


@when('"{name}" receives SIGTERM')
def send_sigterm(context: Any, name: str) -> None:
    context.fleet.members[name].send_signal(signal.SIGTERM)


@when("{seconds:d} seconds pass")
def wait_seconds(context: Any, seconds: int) -> None:
    time.sleep(seconds)


@then('"{name}" still runs requests')
def still_runs_requests(context: Any, name: str) -> None:
    assert context.fleet.status(name)["running"], (
        "the scenario needs requests in flight"
    )


@then("every streamed job that was answered is complete")
def streams_complete(context: Any) -> None:
    for job, caller in context.callers.items():
        reply = caller.result()
        if not reply.error():
            words = reply.words()
            assert words == [f"{job}-{number}" for number in range(200)], job


@then('"{target}" began none of them')
def began_none(context: Any, target: str) -> None:
    begun_jobs = context.fleet.target_runs(target)["begun"]
    assert not set(begun_jobs) & set(context.replies), begun_jobs


@then('"{first}" and "{second}" exit with status 0')
def exit_with_success(context: Any, first: str, second: str) -> None:
    for name in (first, second):
        process = context.fleet.members[name].process
        assert process.wait(40) == 0, name


@when("the platform becomes stale")
def platform_stale(context: Any) -> None:
    context.fleet.set_platform_mode(stale=True)


@when(
    "revision {revision:d} reaches every node before the platform restarts "
    "with its first tree"
)
def revision_reaches_nodes(context: Any, revision: int) -> None:
    """Publish a revision and wait for it, then restart the platform as stale."""
    fleet = context.fleet
    fleet.set_platform_mode(stale=False)
    fleet.publish_tree(TREE.read_text().replace("revision: 1", f"revision: {revision}"))
    for name in fleet.members:
        if name.startswith(("entry", "sidecar")):
            wait_until(
                lambda name=name: fleet.status(name)["revision"] == revision,
                f"{name} has revision {revision}",
            )
    fleet.platform.kill()
    fleet.platform.start()
    wait_until(
        lambda: fleet.set_platform_mode(stale=True) is None, "the platform responds"
    )


def node_names(fleet: Fleet) -> list[str]:
    """Return the names of the entries and sidecars."""
    return [name for name in fleet.members if name.startswith(("entry", "sidecar"))]


@when('every node but "{spared}" freezes')
def freeze_others(context: Any, spared: str) -> None:
    for name in node_names(context.fleet):
        if name != spared:
            context.fleet.members[name].send_signal(signal.SIGSTOP)


@when("every node resumes")
def resume_all(context: Any) -> None:
    for name in node_names(context.fleet):
        context.fleet.members[name].send_signal(signal.SIGCONT)


@when('"{name}" is killed and restarted')
def restart(context: Any, name: str) -> None:
    member = context.fleet.members[name]
    member.kill()
    member.start()


@then('"{name}" is not ready')
def not_ready(context: Any, name: str) -> None:
    member = context.fleet.members[name]
    reply = wait_until(lambda: request(member.port, "/readyz"), f"{name} responds")
    assert reply.status == 503, reply


@then('"{name}" serves with revision {revision:d}')
def serves_with(context: Any, name: str, revision: int) -> None:
    wait_until(context.fleet.members[name].is_ready, f"{name} is ready")
    assert context.fleet.status(name)["revision"] == revision


@then('"{name}" never began to serve with an older revision')
def never_served_older_revision(context: Any, name: str) -> None:
    lines = context.fleet.members[name].log.read_text().splitlines()
    events = [json.loads(line) for line in lines if line.startswith("{")]
    revisions = [
        event["revision"]
        for event in events
        if event["message_type"].endswith(":serving")
    ]
    # The first start, before the edit, served with revision 1.
    assert revisions == [1, 2], revisions


@when("an invalid tree is published as revision {revision:d}")
def publish_invalid_tree(context: Any, revision: int) -> None:
    text = TREE.read_text().replace("revision: 1", f"revision: {revision}")
    context.fleet.publish_tree(text.replace("rank: 0", "rank: 9"))


@when("a valid tree is published as revision {revision:d}")
def publish_valid_tree(context: Any, revision: int) -> None:
    text = TREE.read_text().replace("revision: 1", f"revision: {revision}")
    context.fleet.publish_tree(text)


@then("every node serves with revision {revision:d}")
def all_serve(context: Any, revision: int) -> None:
    fleet = context.fleet
    for name in fleet.members:
        if name.startswith(("entry", "sidecar")):
            wait_until(
                lambda name=name: fleet.status(name)["revision"] == revision,
                f"{name} has revision {revision}",
            )
            assert fleet.members[name].is_ready()
