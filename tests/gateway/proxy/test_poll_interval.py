"""How often controllers are polled."""

from ward import each, test

from honeywood.gateway.proxy.poll_interval import poll_interval_s


@test("on trial {on_trial}, {proxies} proxies, {controllers} controllers: {interval_s} s on average")
def _(
    on_trial=each(False, True, False, False),
    proxies=each(12, 12, 72, 1000),
    controllers=each(3, 3, 3, 3),
    interval_s=each(0.4, 0.2, 0.6, 0.8),
):
    assert abs(poll_interval_s(on_trial, proxies, controllers, 0.5) - interval_s) < 1e-9
    earliest, latest = (poll_interval_s(on_trial, proxies, controllers, draw) for draw in (0.0, 1.0))
    assert abs(earliest - 0.9 * interval_s) < 1e-9 and abs(latest - 1.1 * interval_s) < 1e-9
