"""Which targets are known while the list lapses and comes back."""

from ebonyshore.host.targets import REREGISTRATION_GRACE_MS, TargetEntry, TargetTable


def entry(target_id, started_ms=1, is_leaving=False):
    return TargetEntry(target_id, "svc", "10.0.0.1:80", "fd-a", 8, is_leaving, started_ms)


def test_a_removed_target_is_gone_at_once_while_the_store_is_well():
    table = TargetTable()
    table.put(entry("t1"))
    assert table.remove("t1", 10_000.0) is not None
    assert table.accepting("svc") == []


def test_entries_that_lapsed_in_an_outage_have_time_to_come_back():
    """Guards against a fleet without targets when the store returns with a lapsed list."""
    table = TargetTable()
    for target_id in ("t1", "t2"):
        table.put(entry(target_id))
    table.record_store_outage(10_000.0)
    assert table.replace_all([], 10_100.0) == []
    assert len(table.accepting("svc")) == 2
    table.put(entry("t1"))
    assert table.drop_expired(10_100.0 + REREGISTRATION_GRACE_MS - 1) == []
    gone = table.drop_expired(10_100.0 + REREGISTRATION_GRACE_MS)
    assert [target.target_id for target in gone] == ["t2"]
    assert [target.target_id for target in table.accepting("svc")] == ["t1"]


def test_a_target_that_starts_again_under_its_id_is_a_new_one():
    table = TargetTable()
    table.put(entry("t1", started_ms=1))
    first = table.find("t1")
    first.own_online = 3
    table.put(entry("t1", started_ms=2))
    assert table.find("t1") is not first
    assert table.find("t1").own_online == 0


def test_a_leaving_target_gets_no_new_work():
    table = TargetTable()
    table.put(entry("t1"))
    table.put(entry("t1", is_leaving=True))
    assert table.accepting("svc") == []
    assert table.find("t1") is not None
