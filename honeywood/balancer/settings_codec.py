"""Reads the settings object of the configuration and of the bench; the only module that knows its keys."""

from __future__ import annotations

from honeywood.balancer.model import Idempotency, Method
from honeywood.balancer.sections import Section
from honeywood.balancer.settings import Settings, VoteRule

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

IDEMPOTENCIES = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.KEYED,
    "unsafe": Idempotency.NON_IDEMPOTENT,
}
DEDUP_SCOPES = {"all": "all", "zone": "zone", "cell": "cell"}
VOTE_RULES = {"single": VoteRule.ANY, "majority": VoteRule.SHARE, "clocked": VoteRule.CLOCK}


def read_settings(raw: Any, seed: int, path: str = "") -> Settings:
    """Read the settings from an object; missing keys get their defaults. Raises InvalidConfiguration."""
    top = Section(raw, path)
    rollout, limits, rules = top.section("family_info"), top.section("limits"), top.section("rules")
    report, prices = top.section("report"), top.section("prices")
    return Settings(
        seed=seed,
        clock_resolution=max(1, top.duration("resolution_us", 1000)),
        zone=top.integer("az", 0),
        zones=top.strings("zones"),
        balancers=top.integer("balancers", 1),
        balancer_index=top.integer("me", 0),
        methods=[_read_method(section, index) for index, section in enumerate(top.sections("profiles"))],
        max_attempts=limits.integer("max_attempts", 1),
        may_duplicate=limits.boolean("may_duplicate"),
        may_cancel=limits.boolean("cancel"),
        may_probe=limits.boolean("probes"),
        max_retry_after=limits.duration("max_retry_after_us") if limits.boolean("retry_after") else 0,
        idle_timeout=limits.duration("idle_close_us", 30_000_000),
        connect_timeout=limits.duration("connect_timeout_us", 250_000),
        list_on_request=top.string("registry_mode", "push") == "ask",
        list_request_window=rules.duration("ask_within_us"),
        initial_capacity_share=rules.number("cold_share", 1.0, 0, 1),
        warm_up_time=rules.duration("cold_us"),
        overload_multiple=rules.number("tip_multiple", 1.0),
        overload_window=rules.duration("overload_for_us"),
        load_report_fields=tuple(report.strings("fields"))
        if report.string("source", "silent") != "silent"
        else (),
        cross_zone_price=prices.number("cross_zone", 0.0),
        probe_price=prices.number("probe", 0.0),
        caps=rollout.shares("caps"),
        waves=rollout.shares("waves"),
        exposure_allowance=rollout.number("allowance", 0.0),
        exposure_window=rollout.duration("exposure_window_us"),
        exposure_per_method=rollout.string("per", "all") == "per_lane",
        idempotent_only_steps=rollout.integer("safe_only_stages", 0),
        no_downgrade=rollout.boolean("one_way"),
        vote_rule=VOTE_RULES.get(rollout.string("vote_mode", "single"), VoteRule.ANY),
        rollback_votes=rollout.integer("back_votes", 1),
        proceed_votes=rollout.integer("votes_to_go", 1),
        vote_ttl=rollout.duration("ballot_ttl_us"),
        vote_timeout=rollout.duration("vote_wait_us", 1_000_000),
        platform_counts_period=rollout.duration("metrics_period_us"),
    )


def _read_method(section: Section, index: int) -> Method:
    return Method(
        name=section.string("name", ""),
        idempotency=section.choice("idempotency", None, IDEMPOTENCIES),
        latency_target=max(1, section.duration("aim_us", None)),
        target_per_work=section.number("aim_stretch", 0.0),
        timeout=section.duration("give_up_us", None),
        utility=section.number("credit", 1.0),
        overdue_utility=section.number("late_worth", 0.0),
        dedup_scope=section.choice("dedup_scope", "all", DEDUP_SCOPES),
        dedup_window=section.duration("window_us"),
        index=index,
    )
