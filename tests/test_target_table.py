"""The known targets while entries of the list expire and are written again."""

from ebonyshore.host.target import TargetEntry
from ebonyshore.host.targets import REREGISTRATION_GRACE_MS, TargetTable


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
