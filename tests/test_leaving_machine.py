"""A property test of the target table: random orders of list events, answers and restarts."""

from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from hypothesis.strategies import booleans, integers, sampled_from

from ebonyshore.host.target import TargetEntry
from ebonyshore.host.targets import TargetTable
from ebonyshore.link.load_table import Incarnation

IDS = ("t1", "t2", "t3")
STARTS = integers(min_value=1, max_value=4)


class LeavingMachine(RuleBasedStateMachine):
    """A leaving incarnation is never chosen, and a listed one that has not left always is.

    The model knows the incarnations that have said that they leave, and the listed ones.
    """

    @initialize()
    def start(self):
        self.now_ms = 0.0
        self.table = TargetTable()
        self.announced = []
        self.table.on_leaving = lambda target, _source: self.announced.append(target.incarnation)
        self.left = set()
        self.listed = {}
        self.former_targets = []

    def entry(self, target_id, started_ms, is_leaving):
        return TargetEntry(
            target_id,
            "svc",
            f"10.0.0.{IDS.index(target_id)}:80",
            "fd-a",
            8,
            is_leaving=is_leaving,
            started_ms=started_ms,
        )

    def note(self, entry):
        self.listed[entry.target_id] = entry.started_ms
        if entry.is_leaving:
            self.left.add((entry.target_id, entry.started_ms))

    @rule(target_id=sampled_from(IDS), started_ms=STARTS, is_leaving=booleans())
    def list_entry(self, target_id, started_ms, is_leaving):
        """An entry, perhaps one that is older than what an answer has said."""
        entry = self.entry(target_id, started_ms, is_leaving)
        self.table.put(entry, self.now_ms)
        self.former_targets.append(self.table.find(target_id))
        self.note(entry)

    @rule(started_ms=STARTS, is_leaving=booleans())
    def list_all_again(self, started_ms, is_leaving):
        """A complete list, as after a lost history; only the first two targets are in it."""
        entries = [self.entry(target_id, started_ms, is_leaving) for target_id in IDS[:2]]
        self.table.replace_all(entries, self.now_ms)
        self.listed = {}
        for entry in entries:
            self.note(entry)

    @rule(target_id=sampled_from(IDS))
    def lapse(self, target_id):
        self.table.remove(target_id, self.now_ms)
        self.listed.pop(target_id, None)

    @rule(number=integers(min_value=0, max_value=50))
    def answer(self, number):
        """An answer that says that its target leaves, perhaps one of an earlier incarnation."""
        if self.former_targets:
            target = self.former_targets[number % len(self.former_targets)]
            target.announce_leaving("answer")
            self.left.add((target.target_id, target.entry.started_ms))

    @rule(target_id=sampled_from(IDS), started_ms=STARTS)
    def peer_news(self, target_id, started_ms):
        """News of another process, perhaps old or ahead of the list."""
        self.table.mark_leaving(Incarnation(target_id, started_ms), "peer")
        self.left.add((target_id, started_ms))

    @rule()
    def pass_time(self):
        self.now_ms += 5_000.0
        self.table.drop_expired(self.now_ms)

    @rule()
    def store_outage(self):
        """Entries that are removed soon after an outage stay known for a while."""
        self.table.record_store_outage(self.now_ms)

    @invariant()
    def leaving_incarnations_are_never_chosen(self):
        chosen = {(t.target_id, t.entry.started_ms) for t in self.table.accepting("svc")}
        assert not chosen & self.left

    @invariant()
    def listed_incarnations_that_stay_are_chosen(self):
        chosen = {(t.target_id, t.entry.started_ms) for t in self.table.accepting("svc")}
        assert {pair for pair in self.listed.items() if pair not in self.left} <= chosen

    @invariant()
    def others_are_told_of_incarnations_whose_entries_do_not_say_so(self):
        unlisted_news = {
            Incarnation(*pair)
            for pair in self.listed.items()
            if pair in self.left and not self.table.find(pair[0]).entry.is_leaving
        }
        assert unlisted_news <= set(self.table.announced_incarnations(self.now_ms))

    @invariant()
    def each_incarnation_is_announced_once_while_it_is_listed(self):
        assert all((found.target_id, found.started_ms) in self.left for found in self.announced)


LeavingMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30, derandomize=True, deadline=None
)
TestLeavingTargets = LeavingMachine.TestCase
