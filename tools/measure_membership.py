"""Measures the time to update one target in the membership of an entry, and to choose a target.

.venv/bin/python -m tools.measure_membership

The update runs on the entry's link thread, the choice on its worker threads. For comparison, the
time to copy the views of all targets is measured too.
"""

from time import perf_counter

from msgspec.structs import replace

from ebonyshore.entry.membership import Membership, TargetView
from ebonyshore.entry.routing import Router, RouteRequest
from ebonyshore.link.messages import Load

ROUNDS = 2_000
MODELS = 7


def main() -> None:
    """Print a table with a line for each number of targets."""
    print("targets  publish one view, us  replace and copy all, us  choose, us")
    for count in (10, 100, 860):
        membership = Membership()
        for number in range(count):
            membership.set_view(_make_view(number))
        view = membership.find("t0")
        started_s = perf_counter()
        for number in range(ROUNDS):
            membership.set_view(replace(view, in_flight=number))
        publish_us = (perf_counter() - started_s) / ROUNDS * 1e6
        views = dict(membership.targets())
        slow_rounds = ROUNDS // 20
        started_s = perf_counter()
        for _ in range(slow_rounds):
            dict({key: replace(v, in_flight=1, in_flight_batch=0) for key, v in views.items()})
        copy_us = (perf_counter() - started_s) / slow_rounds * 1e6
        router = Router("a")
        started_s = perf_counter()
        for number in range(slow_rounds):
            router.choose(RouteRequest("m0", f"c{number}", f"h{number}"), membership, 0.0)
        choose_us = (perf_counter() - started_s) / slow_rounds * 1e6
        print(f"{count:7}  {publish_us:20.1f}  {copy_us:24.1f}  {choose_us:10.1f}")


def _make_view(number: int) -> TargetView:
    return TargetView(
        f"t{number}",
        "",
        "r",
        "abc"[number % 3],
        (f"m{number % MODELS}",),
        incarnation="i",
        is_connected=True,
        load=Load(1, max_running=10, step_ms=8.0),
    )


if __name__ == "__main__":
    main()
