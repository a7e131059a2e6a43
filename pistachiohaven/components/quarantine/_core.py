"""Crashes of targets by the requests that they responded to, and by their parts."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ._comparison import PartShares, SeenCrashes, chance_of
from ._explanations import TargetPlace
from ._keys import is_request_key
from .const import (
    CHANGE_REPORT_MS,
    MAX_CHANCE,
    MAX_CHANCE_OF_PROVEN,
    MAX_CHANGE_REPORTS,
    MAX_CRASHES,
    MAX_CRASHES_OF_UNPROVEN,
    MAX_PARTS,
    MAX_PROVEN_PARTS,
    MAX_QUARANTINE_MS,
    MAX_REPORTS,
    MIN_CRASHES,
    MIN_CRASHES_OF_PROVEN,
    NEARLY_ALL_SHARE,
    PROOF_TTL_MS,
    QUARANTINE_MS,
    REPORT_AGE_MS,
    REQUEST_HOLD_MS,
    REQUEST_QUARANTINE_MS,
    SEPARATE_AFTER_MS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetCrash:
    """Crash of one target during requests with a part, `age_ms` milliseconds ago.

    `target` is the hash of the target's incarnation. `is_repeat` is True if the request
    had crashed another target before.
    """

    target: int
    age_ms: int
    is_repeat: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashEvidence:
    """What is known of one part or request, to be passed on to peers.

    `key` is its key. `proven_age_ms` is the age of the newest response that proves
    it to be sound, None if none is known.
    """

    key: int
    proven_age_ms: int | None
    crashes: tuple[TargetCrash, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Quarantine:
    """Quarantine of the part or request `key` until `until_ms`, after `crashes`.

    `last_crash_ms` and `until_ms` are monotonic times. `source` is "own" or the name of
    the peer from which the last crash is known.
    """

    key: int
    crashes: int
    last_crash_ms: int
    until_ms: int
    source: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashChange:
    """Quarantines that begin with a crash, and the parts that are `suspects`.

    The crash is new for the suspects, and requests with them are not repeated.
    """

    begun: list[Quarantine]
    suspects: list[int]


@dataclass(frozen=True, slots=True, kw_only=True)
class ProofChange:
    """Parts whose quarantine ends with a response, and those that were `suspects`."""

    released: list[int]
    suspects: list[int]


@dataclass(slots=True, kw_only=True)
class _Crash:
    """Crash of a target; times are monotonic milliseconds."""

    at_ms: int
    is_repeat: bool
    source: str


@dataclass(slots=True, kw_only=True)
class _Evidence:
    """Crashes by hash of the target since the last proof.

    `changed_ms` is when this entry last learnt something. `was_quarantined` is True
    from the first quarantine to the next proof. `was_passed_on` is True if peers were
    told of the part, so that they need the proofs as well.
    """

    crashes: dict[int, _Crash] = field(default_factory=dict)
    changed_ms: int = 0
    was_quarantined: bool = False
    was_passed_on: bool = False


SOURCE_OWN = "own"


class CrashQuarantine:
    """Parts of prompts, and requests, that crash the targets which respond to them.

    A request that crashes its target looks like all others that the target served at
    that moment. What they have in common over several crashes of different targets
    tells it apart: a part is in quarantine after `MIN_CRASHES` separate crashes without
    a response to any request with it. A response that is complete, or that goes on for
    a while, proves a part to be sound: it ends the quarantine, and for some time more
    crashes are needed for the next one. Crashes and proofs are passed on to peers,
    since each may see one of them only.

    A crash with another explanation is no evidence. A part that many requests have is
    in many crashes of any cause: it takes more crashes than its share of the requests
    makes likely. A group of targets that crash together has a cause of its own.

    What holds for a part also holds for a request that comes again: it has the same key
    in each attempt, and no other request shares it. The requests that were on the same
    target by chance complete elsewhere, which proves them. Proofs of a request are kept
    only if it has crashes, since most requests never come again.

    Parts are known by hashes of their ids, requests by their keys. Times are monotonic
    milliseconds and never decrease from one call to the next.
    """

    def __init__(self) -> None:
        self._evidence: dict[int, _Evidence] = {}
        self._proven_ms: OrderedDict[int, int] = OrderedDict()
        self._seen = SeenCrashes()
        self._shares = PartShares()

    def __len__(self) -> int:
        """Return the number of parts with crashes."""
        return len(self._evidence)

    def find(self, keys: Iterable[int], *, now_ms: int) -> Quarantine | None:
        """Return the quarantine of one of `keys`, or None."""
        for key in keys:
            known = self._evidence.get(key)
            if known is None:
                continue
            quarantine = self._quarantine(key, known)
            if quarantine is not None and now_ms < quarantine.until_ms:
                return quarantine
        return None

    def has_crashes(self, key: int) -> bool:
        """Return True if a part or request has crashes since its last proof."""
        known = self._evidence.get(key)
        return known is not None and bool(known.crashes)

    def may_repeat(self, keys: Iterable[int]) -> bool:
        """Return True if a request whose target crashed may be sent to another one.

        That is not so if another crash would put one of its parts in quarantine.
        """
        return not any(self._is_suspect(key) for key in keys)

    def record_dispatch(self, parts: Iterable[int], *, now_ms: int) -> None:
        """Record that a request with `parts` was sent to a target."""
        self._shares.record(parts, now_ms=now_ms)

    def record_seen_crash(
        self,
        target: int,
        *,
        place: TargetPlace | None,
        pool_targets: int,
        requests: int = 1,
        age_ms: int = 0,
        now_ms: int,
    ) -> None:
        """Record the crash of a target that nothing explains so far.

        `requests` were on it; its pool has `pool_targets` targets.
        """
        self._seen.add(
            target,
            at_ms=now_ms - max(age_ms, 0),
            requests=requests,
            place=place,
            pool_targets=pool_targets,
            now_ms=now_ms,
        )

    def is_in_group(self, target: int) -> bool:
        """Return True if many targets crashed at about the same time as `target`."""
        return bool(self._seen.group_of(target))

    def record_crash(
        self, keys: Sequence[int], *, target: int, is_repeat: bool, now_ms: int
    ) -> CrashChange:
        """Record the crash of a target that had just begun to respond.

        `is_repeat` is True if the same request crashed another target before.
        """
        begun: list[Quarantine] = []
        suspects: list[int] = []
        for key in keys:
            known = self._evidence.get(key)
            if known is not None and target in known.crashes:
                continue
            # One request on two targets that crash at one moment is a coincidence.
            crash = _Crash(
                at_ms=now_ms,
                is_repeat=is_repeat or is_request_key(key),
                source=SOURCE_OWN,
            )
            quarantine = self._add_crash(key, target, crash, now_ms=now_ms)
            if quarantine is not None:
                begun.append(quarantine)
            if self._is_suspect(key):
                suspects.append(key)
        return CrashChange(begun=begun, suspects=suspects)

    def record_proof(self, keys: Iterable[int], *, now_ms: int) -> ProofChange:
        """Record a response that proves `keys` to be sound."""
        suspects = [key for key in keys if self._is_suspect(key)]
        released = [key for key in keys if self._add_proof(key, now_ms, now_ms=now_ms)]
        return ProofChange(released=released, suspects=suspects)

    def apply_report(
        self, report: CrashEvidence, *, peer: str, now_ms: int
    ) -> list[Quarantine]:
        """Record what `peer` passed on; return a quarantine that begins."""
        if report.proven_age_ms is not None:
            proven_ms = now_ms - max(report.proven_age_ms, 0)
            self._add_proof(report.key, proven_ms, now_ms=now_ms)
        begun: list[Quarantine] = []
        for reported in report.crashes[:MAX_CRASHES]:
            crash = _Crash(
                at_ms=now_ms - max(reported.age_ms, 0),
                is_repeat=reported.is_repeat,
                source=peer,
            )
            quarantine = self._add_crash(
                report.key, reported.target, crash, now_ms=now_ms
            )
            if quarantine is not None:
                begun.append(quarantine)
        return begun

    def has_newer_proof(self, report: CrashEvidence, *, now_ms: int) -> bool:
        """Return True if the sender of `report` lacks a proof that is known here."""
        proven_ms = self._proven_ms.get(report.key)
        if proven_ms is None or now_ms - proven_ms >= PROOF_TTL_MS:
            return False
        return report.proven_age_ms is None or report.proven_age_ms >= PROOF_TTL_MS

    def is_suspect(self, key: int) -> bool:
        """Return True if one more crash would put `key` in quarantine."""
        return self._is_suspect(key)

    def report(self, key: int, *, now_ms: int) -> CrashEvidence:
        """Return what is known of `key`."""
        known = self._evidence.get(key, _Evidence())
        proven_ms = self._proven_ms.get(key)
        return CrashEvidence(
            key=key,
            proven_age_ms=None if proven_ms is None else now_ms - proven_ms,
            crashes=tuple(
                TargetCrash(
                    target=target,
                    age_ms=now_ms - crash.at_ms,
                    is_repeat=crash.is_repeat,
                )
                for target, crash in known.crashes.items()
            ),
        )

    def reports(self, *, changed_only: bool, now_ms: int) -> list[CrashEvidence]:
        """Return what is known of all parts, or only of those that changed lately.

        At most `MAX_REPORTS` or `MAX_CHANGE_REPORTS`: parts with most crashes first,
        then those that changed last. Proven parts with few crashes, which are in each
        crash, are left out.
        """
        max_age_ms = CHANGE_REPORT_MS if changed_only else REPORT_AGE_MS
        max_keys = MAX_CHANGE_REPORTS if changed_only else MAX_REPORTS
        keys = [
            key
            for key, known in self._evidence.items()
            if (
                known.was_passed_on
                or self._min_crashes(key, known) - _count_separate(known) < MIN_CRASHES
            )
            and not self._is_held(key, known, now_ms=now_ms)
            and (
                now_ms - known.changed_ms < max_age_ms
                or (not changed_only and self.find([key], now_ms=now_ms) is not None)
            )
        ]
        keys.sort(key=self._retention_order, reverse=True)
        for key in keys[:max_keys]:
            self._evidence[key].was_passed_on = True
        return [self.report(key, now_ms=now_ms) for key in keys[:max_keys]]

    def _add_crash(
        self, key: int, target: int, crash: _Crash, *, now_ms: int
    ) -> Quarantine | None:
        """Add a crash unless it is known or before a response.

        Return the quarantine if it begins with this crash.
        """
        known = self._evidence.get(key)
        if known is None:
            known = self._evidence[key] = _Evidence(changed_ms=now_ms)
            self._forget(keep=key, now_ms=now_ms)
        if target in known.crashes:
            return None
        if crash.at_ms <= self._proven_ms.get(key, crash.at_ms - 1):
            return None
        known.crashes[target] = crash
        self._seen.add(target, at_ms=crash.at_ms, now_ms=now_ms)
        if len(known.crashes) > MAX_CRASHES:
            oldest = min(known.crashes, key=lambda each: known.crashes[each].at_ms)
            del known.crashes[oldest]
            if oldest == target:
                return None
        known.changed_ms = now_ms
        quarantine = self._quarantine(key, known)
        if quarantine is None or known.was_quarantined:
            return None
        known.was_quarantined = True
        return quarantine

    def _add_proof(self, key: int, proven_ms: int, *, now_ms: int) -> bool:
        """Add a proof, and drop the crashes before; return True if a quarantine ends.

        A proof that some gateway may need is passed on: that of a part with crashes.
        """
        if proven_ms <= self._proven_ms.get(key, proven_ms - 1):
            return False
        if is_request_key(key) and key not in self._evidence:
            return False
        self._proven_ms[key] = proven_ms
        self._proven_ms.move_to_end(key)
        if len(self._proven_ms) > MAX_PROVEN_PARTS:
            self._proven_ms.popitem(last=False)
        known = self._evidence.get(key)
        if known is None:
            return False
        kept = {
            target: crash
            for target, crash in known.crashes.items()
            if crash.at_ms > proven_ms
        }
        if len(kept) == len(known.crashes):
            if known.was_passed_on:
                known.changed_ms = now_ms
            return False
        known.crashes = kept
        known.changed_ms = now_ms
        if not known.was_quarantined:
            return False
        known.was_quarantined = self._quarantine(key, known) is not None
        return not known.was_quarantined

    def _is_held(self, key: int, known: _Evidence, *, now_ms: int) -> bool:
        """Return True if a request may still prove that its only crash was chance."""
        return (
            is_request_key(key)
            and len(known.crashes) == 1
            and now_ms - known.changed_ms < REQUEST_HOLD_MS
        )

    def _is_suspect(self, key: int) -> bool:
        """Return True if one more crash would put `key` in quarantine."""
        known = self._evidence.get(key)
        if known is None:
            return False
        return _count_separate(known) >= self._min_crashes(key, known) - 1

    def _min_crashes(self, key: int, known: _Evidence) -> int:
        """Return the number of crashes that put `key` in quarantine."""
        proven_ms = self._proven_ms.get(key)
        if proven_ms is None or not known.crashes:
            return MIN_CRASHES
        first_ms = min(crash.at_ms for crash in known.crashes.values())
        if first_ms - proven_ms >= PROOF_TTL_MS:
            return MIN_CRASHES
        return MIN_CRASHES_OF_PROVEN

    def _quarantine(self, key: int, known: _Evidence) -> Quarantine | None:
        """Return the quarantine that follows from the crashes, which may have ended."""
        if _count_separate(known) < MIN_CRASHES:
            return None
        counted = self._without_groups(key, known)
        count = _count_separate(counted)
        surplus = count - self._min_crashes(key, counted)
        if surplus < 0 or self._is_chance(key, counted, count=count):
            return None
        last = max(counted.crashes.values(), key=lambda crash: crash.at_ms)
        first_ms = REQUEST_QUARANTINE_MS if is_request_key(key) else QUARANTINE_MS
        return Quarantine(
            key=key,
            crashes=count,
            last_crash_ms=last.at_ms,
            until_ms=last.at_ms + min(first_ms << surplus, MAX_QUARANTINE_MS),
            source=last.source,
        )

    def _without_groups(self, key: int, known: _Evidence) -> _Evidence:
        """Return `known` without crashes of groups that the part doesn't explain.

        It may explain a group if most crashes in it were during requests with the part,
        and no response has proven it to be sound.
        """
        is_proven = self._min_crashes(key, known) == MIN_CRASHES_OF_PROVEN
        kept = {}
        for target, crash in known.crashes.items():
            group = self._seen.group_of(target)
            without = sum(each not in known.crashes for each in group)
            if not group or not (is_proven or 2 * without >= len(group)):
                kept[target] = crash
        return _Evidence(crashes=kept)

    def _is_chance(self, key: int, counted: _Evidence, *, count: int) -> bool:
        """Return True if a sound part would be in these crashes as well.

        All requests on the target of a crash count, if the part is proven. One that was
        never proven is expected in the share of the crashes that it has of requests.
        """
        share = self._shares.share(key)
        if share is None:
            return False
        is_proven = self._min_crashes(key, counted) == MIN_CRASHES_OF_PROVEN
        if share >= NEARLY_ALL_SHARE:
            return is_proven or count < MIN_CRASHES_OF_PROVEN
        if not is_proven and count >= MAX_CRASHES_OF_UNPROVEN:
            return False
        from_ms = min(crash.at_ms for crash in counted.crashes.values())
        seen = self._seen.since(from_ms)
        without = sum(target not in counted.crashes for target in seen)
        max_chance = MAX_CHANCE
        if is_proven:
            max_chance = MAX_CHANCE_OF_PROVEN
            requests = [crash.requests for crash in seen.values()]
            per_crash = sum(requests) / len(requests) if requests else 1.0
            share = 1.0 - (1.0 - share) ** per_crash
        return chance_of(count, of=count + without, share=share) > max_chance

    def _retention_order(self, key: int) -> tuple[int, int]:
        """Return the sort key of a part; those with lower keys are forgotten first."""
        known = self._evidence[key]
        return _count_separate(known), known.changed_ms

    def _forget(self, *, keep: int, now_ms: int) -> None:
        """Forget old parts, and one beyond `MAX_PARTS`, but not `keep`."""
        for key, known in list(self._evidence.items()):
            if now_ms - known.changed_ms >= MAX_QUARANTINE_MS:
                del self._evidence[key]
        if len(self._evidence) > MAX_PARTS:
            others = (key for key in self._evidence if key != keep)
            del self._evidence[min(others, key=self._retention_order)]


def _count_separate(known: _Evidence) -> int:
    """Return the number of crashes that do not have a common moment."""
    count = 0
    counted_ms = None
    for crash in sorted(known.crashes.values(), key=lambda each: each.at_ms):
        is_separate = (
            counted_ms is None
            or crash.is_repeat
            or crash.at_ms - counted_ms >= SEPARATE_AFTER_MS
        )
        if is_separate:
            count += 1
            counted_ms = crash.at_ms
    return count
