"""The settings object in this project's words, for both hosts. Only here do its own names live."""

from math import isfinite

from honeywood.balancer.interface import IDEMPOTENT, NON_IDEMPOTENT, TOKENED, Method, Settings

KINDS = {"safe": IDEMPOTENT, "keyed": TOKENED, "unsafe": NON_IDEMPOTENT}
GROUPS = {"all": "all", "zone": "zone", "cell": "cell"}
RULES = {"single": "any", "majority": "share", "clocked": "clock"}


class BadKey(ValueError):
    """A value that cannot be used; the text names its key."""


class Part:
    """An object of a configuration, read key by key; unknown keys are skipped.

    >>> part = Part({"limits": {"sockets": "many"}}, "")
    >>> part.part("limits").number("cores", 1.0)
    1.0
    >>> part.part("limits").whole("sockets", 64)
    Traceback (most recent call last):
    honeywood.balancer.settings.BadKey: limits.sockets: 'many' is not a whole number from 0 on
    """

    def __init__(self, raw, path):
        if not isinstance(raw, dict):
            raise BadKey(f"{path or 'the whole'}: {raw!r:.60} is not an object")
        self.raw, self.path = raw, path

    def name(self, key):
        return f"{self.path}.{key}" if self.path else key

    def bad(self, key, what):
        return BadKey(f"{self.name(key)}: {self.raw.get(key)!r:.60} is not {what}")

    def value(self, key, otherwise, fits, what):
        value = self.raw.get(key, otherwise)
        if key not in self.raw and otherwise is None:
            raise BadKey(f"{self.name(key)}: missing")
        if not fits(value):
            raise self.bad(key, what)
        return value

    def number(self, key, otherwise=None, least=0.0, most=1e15):
        def fits(v):
            return type(v) in (int, float) and isfinite(v) and least <= v <= most

        return self.value(key, otherwise, fits, f"a number from {least:g} to {most:g}")

    def whole(self, key, otherwise=None, least=0):
        def fits(v):
            return type(v) is int and v >= least

        return self.value(key, otherwise, fits, f"a whole number from {least} on")

    def units(self, key, otherwise=0):
        """Microseconds, as tenths of a millisecond."""
        return int(self.number(key, otherwise)) // 100

    def flag(self, key, otherwise=False):
        return self.value(key, otherwise, lambda v: isinstance(v, bool), "true or false")

    def text(self, key, otherwise=None):
        return self.value(key, otherwise, lambda v: isinstance(v, str), "a text")

    def choice(self, key, otherwise, choices):
        text = self.text(key, otherwise)
        if text not in choices:
            raise self.bad(key, f"one of {', '.join(choices)}")
        return choices[text]

    def part(self, key):
        return Part(self.raw.get(key, {}), self.name(key))

    def parts(self, key):
        listed = self.value(key, [], lambda v: isinstance(v, list), "a list")
        return [Part(raw, f"{self.name(key)}[{at}]") for at, raw in enumerate(listed)]

    def texts(self, key):
        return self.value(
            key, [], lambda v: isinstance(v, list) and all(isinstance(t, str) for t in v), "a list of texts"
        )

    def shares(self, key):
        return self.value(
            key,
            [1.0],
            lambda v: isinstance(v, list)
            and v
            and all(isinstance(n, int | float) and 0 <= n <= 1 for n in v),
            "a list of numbers from 0 to 1",
        )


def method(part, place):
    return Method(
        name=part.text("name", ""),
        kind=part.choice("idempotency", None, KINDS),
        soft=max(1, part.units("aim_us", None)),
        soft_stretch=part.number("aim_stretch", 0.0),
        deadline=part.units("give_up_us", None),
        utility=part.number("credit", 1.0),
        late_utility=part.number("late_worth", 0.0),
        group=part.choice("dedup_scope", "all", GROUPS),
        window=part.units("window_us"),
        place=place,
    )


def settings(raw, seed, path=""):
    """The settings object, checked; absent keys mean 'none'."""
    top = Part(raw, path)
    fam, limits, rules = top.part("family_info"), top.part("limits"), top.part("rules")
    report, prices = top.part("report"), top.part("prices")
    return Settings(
        seed=seed,
        tick=max(1, top.units("resolution_us", 1000)),
        zone=top.whole("az", 0),
        zones=top.texts("zones"),
        fronts=top.whole("balancers", 1),
        me=top.whole("me", 0),
        methods=[method(part, place) for place, part in enumerate(top.parts("profiles"))],
        max_picks=limits.whole("max_attempts", 1),
        may_duplicate=limits.flag("may_duplicate"),
        may_cancel=limits.flag("cancel"),
        may_probe=limits.flag("probes"),
        max_wait=limits.units("max_retry_after_us") if limits.flag("retry_after") else 0,
        idle_close=limits.units("idle_close_us", 30_000_000),
        connect_within=limits.units("connect_timeout_us", 250_000),
        must_ask=top.text("registry_mode", "push") == "ask",
        ask_within=rules.units("ask_within_us"),
        cold_share=rules.number("cold_share", 1.0, 0, 1),
        cold_time=rules.units("cold_us"),
        tip_multiple=rules.number("tip_multiple", 1.0),
        tip_time=rules.units("overload_for_us"),
        report_fields=tuple(report.texts("fields")) if report.text("source", "silent") != "silent" else (),
        cross_price=prices.number("cross_zone", 0.0),
        probe_price=prices.number("probe", 0.0),
        caps=fam.shares("caps"),
        waves=fam.shares("waves"),
        free_picks=fam.number("allowance", 0.0),
        exposure_window=fam.units("exposure_window_us"),
        per_method=fam.text("per", "all") == "per_lane",
        guarded_steps=fam.whole("safe_only_stages", 0),
        one_way=fam.flag("one_way"),
        vote_rule=RULES.get(fam.text("vote_mode", "single"), "any"),
        back_votes=fam.whole("back_votes", 1),
        go_votes=fam.whole("votes_to_go", 1),
        vote_life=fam.units("ballot_ttl_us"),
        vote_wait=fam.units("vote_wait_us", 1_000_000),
        tally_period=fam.units("metrics_period_us"),
    )
