"""Constants of routing."""

from typing import Final

COMPARED_TARGETS: Final = 6
"""Random targets compared for one request, besides those with its prefix."""

UNKNOWN_TOKENS_PER_S: Final = 2_000.0
"""Token rate assumed for a first-generation target that has not reported one.

It is multiplied by the generation of the target.
"""

UNKNOWN_PREFILL_MS_PER_TOKEN: Final = 0.1
"""Prefill time per prompt token assumed for a first-generation target.

It is used until one is reported or measured, and divided by the generation.
"""

LOWER_RANK_BACKLOG_SHARE: Final = 0.25
"""Share of the less urgent backlog that counts as delay.

It can be preempted, but cancelled work is wasted.
"""

MAX_PREFIXES: Final = 4_096
"""Largest number of prompt prefixes whose recent targets are kept."""

SPEED_SMOOTHING: Final = 0.2
"""Weight of a new sample in the measured prefill time per token."""

SUSPECT_FIRST_MS: Final = 500
"""Delay of the first probe of a suspect target; it doubles up to the maximum."""

SUSPECT_MAX_MS: Final = 30_000
"""Longest pause before a probe of a suspect target."""

REFUSED_HOLD_MS: Final = 250
"""Time for which a target that refused a rank is not offered that rank again.

It is shorter than the time for which the sidecar refuses less urgent work.
"""

REPORT_MAX_AGE_MS: Final = 1_000
"""Age of a report from which its target is probed.

Up to this age a report is trusted to show that the target is saturated.
"""

SHED_THRESHOLD_MS: Final = 2_000
"""Time for which a pool refuses less urgent work after a request found no capacity.

Also the time for which a poll of the pool is valid.
"""
