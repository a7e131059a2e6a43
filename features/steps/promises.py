"""Carry out the steps of the promises."""

import json
import signal
import time
from pathlib import Path
from typing import Any

from behave import given, then, when

from features.caller import Caller, stream
from features.fleet import Fleet, eventually, request

TREE = Path(__file__).resolve().parent.parent / "tree.yaml"
SLOW = '{"prefill_tokens_per_s": 4000, "token_ms": 25, "max_batch": 4}'


def start(context: Any, engines: int, services: int, entries: int, **more: Any) -> None:
    context.fleet = Fleet(
        engines=engines,
        services=services,
        entries=entries,
        tree=TREE.read_text(),
        **more,
    )
    context.fleet.start()


@given("a fleet of {engines:d} {word}, {services:d} services and {entries:d} {last}")
def fleet(
    context: Any, engines: int, word: str, services: int, entries: int, last: str
) -> None:
    start(
        context,
        engines,
        services,
        entries,
        relayed="network" in last,
        engine_lines=SLOW if "slow" in word else "",
    )


@when('"{entry}" streams job "{job}" of {tokens:d} tokens in tier "{tier}"')
def stream_job(context: Any, entry: str, job: str, tokens: int, tier: str) -> None:
    caller = stream(context.fleet, entry, job, tokens=tokens, tier=tier)
    context.callers[job] = caller
    eventually(lambda: caller.chunks > 2, f"{job} begins")


@when('the sidecar that runs "{job}" is killed')
def kill_runner(context: Any, job: str) -> None:
    for name, member in context.fleet.members.items():
        if name.startswith("sidecar") and context.fleet.status(name)["running"]:
            member.kill()


@then('the caller of "{job}" is told "{outcome}"')
def told(context: Any, job: str, outcome: str) -> None:
    assert context.callers[job].result().error()["outcome"] == outcome


@then('job "{job}" began {count:d} time')
def began(context: Any, job: str, count: int) -> None:
    assert context.fleet.runs(job) == count, context.fleet.runs(job)


@when('"{entry}" is sent tag "{job}" with a ticket and freezes')
def tag_and_freeze(context: Any, entry: str, job: str) -> None:
    fleet = context.fleet
    context.ticket = fleet.ticket(entry)
    for name in ("target-2", "target-3"):
        fleet.fault(name, slow=20.0)
    context.callers["first"] = Caller(fleet.tag, entry, job, context.ticket)
    eventually(lambda: fleet.runs(job) == 1, "the first try runs")
    fleet.members[entry].send(signal.SIGSTOP)


@when('"{entry}" is sent tag "{job}" with the same ticket')
def tag_again(context: Any, entry: str, job: str) -> None:
    caller = Caller(context.fleet.tag, entry, job, context.ticket)
    context.callers["second"] = caller
    caller.result()


@when('"{entry}" wakes')
def wake(context: Any, entry: str) -> None:
    context.fleet.members[entry].send(signal.SIGCONT)


@then('every caller of "{job}" is answered or told "{outcome}"')
def answered_or(context: Any, job: str, outcome: str) -> None:
    for caller in context.callers.values():
        reply = caller.result()
        if reply.status != 200:
            assert reply.error()["outcome"] == outcome, reply


@when('{count:d} jobs of tier "{tier}" are streamed through "{entry}"')
def stream_many(context: Any, count: int, tier: str, entry: str) -> None:
    fleet = context.fleet
    for number in range(count):
        job = f"{tier}-{number}"
        caller = stream(fleet, entry, job, tokens=200, tier=tier)
        context.callers[job] = caller
    eventually(lambda: len(fleet.all_runs()) >= 4, f"{tier} work runs")

    def all_arrived() -> bool:
        ended = [caller for caller in context.callers.values() if caller.ended_s]
        return len(fleet.status(entry)["in_flight"]) + len(ended) >= count

    eventually(all_arrived, f"{tier} work arrived")


@when('the sidecar "{name}" freezes')
def freeze(context: Any, name: str) -> None:
    context.fleet.members[name].send(signal.SIGSTOP)


@when('"{entry}" leaves "{sidecar}" out')
def leaves_out(context: Any, entry: str, sidecar: str) -> None:
    def suspected() -> bool:
        targets = context.fleet.status(entry)["targets"]
        return any(item["name"] == sidecar and item["suspect"] for item in targets)

    eventually(suspected, f"{entry} suspects {sidecar}")


@when('{count:d} jobs of tier "{tier}" are asked through "{entry}"')
def ask_many(context: Any, count: int, tier: str, entry: str) -> None:
    callers = {
        f"{tier}-ask-{number}": Caller(
            context.fleet.ask, entry, f"{tier}-ask-{number}", tier=tier
        )
        for number in range(count)
    }
    context.replies = {job: caller.result() for job, caller in callers.items()}
    context.replied_s = {job: caller.ended_s for job, caller in callers.items()}


@then('all {count:d} urgent jobs are answered whole or end "{outcome}"')
def urgent_answered(context: Any, count: int, outcome: str) -> None:
    replies = context.replies
    assert len(replies) == count
    whole = 0
    for job, reply in replies.items():
        if reply.status == 200:
            assert reply.words() == [f"{job}-{number}" for number in range(5)]
            whole += 1
        else:
            assert reply.error()["outcome"] == outcome, reply
    assert whole >= 1


@then("no urgent job is refused")
def none_refused(context: Any) -> None:
    outcomes = [reply.error().get("outcome") for reply in context.replies.values()]
    assert "not_run" not in outcomes, outcomes


@when('the network is cut once "{job}" has begun')
def cut(context: Any, job: str) -> None:
    for relay in context.fleet.relays.values():
        relay.cut()


@then('the caller of "{job}" has all {count:d} words')
def whole_answer(context: Any, job: str, count: int) -> None:
    reply = context.callers[job].result()
    words = reply.words()
    assert words == [f"{job}-{number}" for number in range(count)], (
        len(words),
        reply.error(),
    )


@when('target "{name}" is killed')
def kill_target(context: Any, name: str) -> None:
    fleet = context.fleet
    context.dead_runs = fleet.target_runs(name)["begun"]
    fleet.members[name].kill()
    del fleet.members[name]


@then('every job told "{outcome}" began {count:d} times')
def told_and_began(context: Any, outcome: str, count: int) -> None:
    runs = context.fleet.all_runs()
    for job, reply in context.replies.items():
        if reply.error().get("outcome") == outcome:
            assert runs.get(job, 0) == count, job


@then("every answered job began {count:d} time")
def answered_began(context: Any, count: int) -> None:
    runs = context.fleet.all_runs()
    answered = [job for job, reply in context.replies.items() if reply.status == 200]
    assert answered
    for job in answered:
        assert runs.get(job, 0) == count, job


@when(
    "the same tag is sent {count:d} times through both entries at once, "
    "its home frozen for a while"
)
def tag_at_once(context: Any, count: int) -> None:
    fleet = context.fleet
    time.sleep(5)  # keys stamped before the sidecars' start are refused
    context.key = fleet.key()
    entries = ["entry-1", "entry-2"]
    callers = [
        Caller(fleet.tag, entries[number % 2], "seat", context.key)
        for number in range(count)
    ]
    for name in ("sidecar-1", "sidecar-2", "sidecar-3"):
        fleet.members[name].send(signal.SIGSTOP)
    time.sleep(1)
    for name in ("sidecar-1", "sidecar-2", "sidecar-3"):
        fleet.members[name].send(signal.SIGCONT)
    context.replies = {
        str(number): caller.result() for number, caller in enumerate(callers)
    }


@then("the tag ran at most {count:d} time")
def ran_at_most(context: Any, count: int) -> None:
    assert context.fleet.runs("seat") <= count
    for reply in context.replies.values():
        assert reply.status == 200 or reply.error()["outcome"] == "unknown", reply


@then("a later repeat with the same key does not run it again")
def later_repeat(context: Any) -> None:
    reply = context.fleet.tag("entry-2", "seat", context.key)
    assert reply.status == 200, reply
    assert context.fleet.runs("seat") == 1


@when('"{name}" is told to leave by signal')
def leave(context: Any, name: str) -> None:
    context.fleet.members[name].send(signal.SIGTERM)


@when("{seconds:d} seconds pass")
def wait_a_while(context: Any, seconds: int) -> None:
    time.sleep(seconds)


@then('"{name}" still holds work')
def still_holds(context: Any, name: str) -> None:
    assert context.fleet.status(name)["running"], "the scenario needs work in hand"


@then("every streamed job that was answered is whole")
def streams_whole(context: Any) -> None:
    for job, caller in context.callers.items():
        reply = caller.result()
        if not reply.error():
            words = reply.words()
            assert words == [f"{job}-{number}" for number in range(200)], job


@then('"{target}" began none of them')
def began_none(context: Any, target: str) -> None:
    begun = context.fleet.target_runs(target)["begun"]
    assert not set(begun) & set(context.replies), begun


@then('"{first}" and "{second}" end by themselves')
def end_themselves(context: Any, first: str, second: str) -> None:
    for name in (first, second):
        process = context.fleet.members[name].process
        assert process.wait(40) == 0, name


@when("the platform becomes stale")
def platform_stale(context: Any) -> None:
    context.fleet.mode(stale=True)


@when('revision {revision:d} reaches "{entry}" but not the platform\'s answers')
def reach_one(context: Any, revision: int, entry: str) -> None:
    fleet = context.fleet
    fleet.mode(stale=False)
    fleet.edit(TREE.read_text().replace("revision: 1", f"revision: {revision}"))
    for name in fleet.members:
        if name.startswith(("entry", "sidecar")):
            eventually(
                lambda name=name: fleet.status(name)["revision"] == revision,
                f"{name} has {revision}",
            )
    fleet.platform.kill()
    fleet.platform.start()
    eventually(lambda: fleet.mode(stale=True) is None, "the platform is back")


def nodes(fleet: Fleet) -> list[str]:
    """Return the names of the entries and sidecars."""
    return [name for name in fleet.members if name.startswith(("entry", "sidecar"))]


@when('every node but "{spared}" freezes')
def freeze_others(context: Any, spared: str) -> None:
    for name in nodes(context.fleet):
        if name != spared:
            context.fleet.members[name].send(signal.SIGSTOP)


@when("every node wakes")
def wake_all(context: Any) -> None:
    for name in nodes(context.fleet):
        context.fleet.members[name].send(signal.SIGCONT)


@when('"{name}" is killed and started again')
def restart(context: Any, name: str) -> None:
    member = context.fleet.members[name]
    member.kill()
    member.start()


@then('"{name}" is not ready')
def not_ready(context: Any, name: str) -> None:
    member = context.fleet.members[name]
    reply = eventually(lambda: request(member.port, "/readyz"), f"{name} answers")
    assert reply.status == 503, reply


@then('"{name}" serves with revision {revision:d}')
def serves_with(context: Any, name: str, revision: int) -> None:
    eventually(context.fleet.members[name].ready, f"{name} ready")
    assert context.fleet.status(name)["revision"] == revision


@then('"{name}" never began to serve with an older one')
def never_older(context: Any, name: str) -> None:
    lines = context.fleet.members[name].log.read_text().splitlines()
    events = [json.loads(line) for line in lines if line.startswith("{")]
    began = [
        event["revision"]
        for event in events
        if event["message_type"].endswith(":serving")
    ]
    # Its first life began with revision 1, before the edit.
    assert began == [1, 2], began


@when("a tree with a fault is published as revision {revision:d}")
def bad_edit(context: Any, revision: int) -> None:
    text = TREE.read_text().replace("revision: 1", f"revision: {revision}")
    context.fleet.edit(text.replace("rank: 0", "rank: 9"))


@when("a good tree is published as revision {revision:d}")
def good_edit(context: Any, revision: int) -> None:
    text = TREE.read_text().replace("revision: 1", f"revision: {revision}")
    context.fleet.edit(text)


@then("every node serves with revision {revision:d}")
def all_serve(context: Any, revision: int) -> None:
    fleet = context.fleet
    for name in fleet.members:
        if name.startswith(("entry", "sidecar")):
            eventually(
                lambda name=name: fleet.status(name)["revision"] == revision,
                f"{name} has {revision}",
            )
            assert fleet.members[name].ready()
