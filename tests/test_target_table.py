"""The known targets while entries of the list expire and are written again."""

from ebonyshore.host.leaving_record import LEAVING_NEWS_MS
from ebonyshore.host.target import TargetEntry
from ebonyshore.host.targets import REREGISTRATION_GRACE_MS, TargetTable
from ebonyshore.link.load_table import Incarnation


def entry(target_id, started_ms=1, is_leaving=False):
    return TargetEntry(target_id, "svc", "10.0.0.1:80", "fd-a", 8, is_leaving, started_ms)


def test_removed_target_is_dropped_immediately_without_a_store_outage():
    table = TargetTable()
    table.put(entry("t1"))
    assert table.remove("t1", 10_000.0) is not None
    assert table.accepting("svc") == []


def test_entries_expired_in_an_outage_have_time_to_be_written_again():
    """Guards against an empty list of targets when their entries expired in a store outage."""
    table = TargetTable()
    for target_id in ("t1", "t2"):
        table.put(entry(target_id))
    table.record_store_outage(10_000.0)
    assert table.replace_all([], 10_100.0) == []
    assert len(table.accepting("svc")) == 2
    table.put(entry("t1"))
    assert table.drop_expired(10_100.0 + REREGISTRATION_GRACE_MS - 1) == []
    dropped = table.drop_expired(10_100.0 + REREGISTRATION_GRACE_MS)
    assert [target.target_id for target in dropped] == ["t2"]
    assert [target.target_id for target in table.accepting("svc")] == ["t1"]


def test_restarted_target_with_the_same_id_is_a_new_target():
    table = TargetTable()
    table.put(entry("t1", started_ms=1))
    first = table.find("t1")
    first.own_online = 3
    table.put(entry("t1", started_ms=2))
    assert table.find("t1") is not first
    assert table.find("t1").own_online == 0


def test_leaving_target_accepts_no_new_requests():
    table = TargetTable()
    table.put(entry("t1"))
    table.put(entry("t1", is_leaving=True))
    assert table.accepting("svc") == []
    assert table.find("t1") is not None


def test_news_of_a_leaving_target_is_passed_on_after_its_entry_has_lapsed():
    """Guards against peers that never learn it, as the entry lapses before the next report."""
    table = TargetTable()
    table.put(entry("t1"))
    table.find("t1").announce_leaving("answer")
    table.remove("t1", 0.0)
    assert table.announced_incarnations(0.0) == (Incarnation("t1", 1),)
    assert table.announced_incarnations(LEAVING_NEWS_MS) == (Incarnation("t1", 1),)
    assert table.announced_incarnations(LEAVING_NEWS_MS + 1) == ()


def test_news_of_a_leaving_target_is_passed_on_when_its_entry_comes_back():
    table = TargetTable()
    table.put(entry("t1"))
    table.find("t1").announce_leaving("answer")
    table.remove("t1", 0.0)
    assert table.announced_incarnations(0.0) == (Incarnation("t1", 1),)
    assert table.announced_incarnations(2 * LEAVING_NEWS_MS) == ()
    table.put(entry("t1"), 3 * LEAVING_NEWS_MS)
    assert table.announced_incarnations(3 * LEAVING_NEWS_MS) == (Incarnation("t1", 1),)


def test_news_of_a_target_that_is_not_listed_is_passed_on_once():
    """Guards against two processes that tell each other of a target for ever."""
    table = TargetTable()
    table.mark_leaving(Incarnation("t1", 1), "peer")
    assert table.announced_incarnations(0.0) == (Incarnation("t1", 1),)
    table.mark_leaving(Incarnation("t1", 1), "peer")
    assert table.announced_incarnations(LEAVING_NEWS_MS + 1) == ()
    table.mark_leaving(Incarnation("t1", 1), "peer")
    assert table.announced_incarnations(LEAVING_NEWS_MS + 1) == ()


def test_incarnation_that_the_list_shows_as_leaving_is_not_passed_on():
    table = TargetTable()
    table.put(entry("t1"))
    table.find("t1").announce_leaving("answer")
    table.put(entry("t1", is_leaving=True))
    assert table.announced_incarnations(0.0) == ()
