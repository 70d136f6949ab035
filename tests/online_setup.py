"""The online service with scripted agents, on one thread and a simulated clock."""

from collections.abc import Callable

from ebonyshore.entry.membership import Membership
from ebonyshore.entry.online import OnlineService
from ebonyshore.entry.online_attempt import OnlineRequest
from ebonyshore.entry.openai_api import decode_event
from ebonyshore.entry.routing import Router
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.link.messages import Chunk, Finished
from ebonyshore.settings.settings_service import SettingsService
from ebonyshore.store.platform_api import Instance
from ebonyshore_standins.event_clock import EventClock
from ebonyshore_standins.scripted_agents import ScriptedAgent, ScriptedLink, send_complete_answer

MODEL = "reader"


class OnlineSetup:
    """The online path of an entry with one agent per script, named ``t0``, ``t1`` and so on.

    :param scripts: steps of each agent; by default, two agents that answer in full.
    :param kind: kind of all targets.
    """

    def __init__(self, *scripts: list[Callable], kind: str = "engine") -> None:
        self.clock = EventClock(1_000.0)
        self.metrics = Metrics()
        log = EventLog()
        self.membership = Membership()
        self.settings = SettingsService(log)
        self.link = ScriptedLink(self.membership, self.clock, self.metrics, log)
        self.service = OnlineService(
            self.link,
            self.membership,
            self.settings,
            Router("a"),
            self.clock,
            self.metrics,
            log,
        )
        self.agents = []
        for number, script in enumerate(
            scripts or ([send_complete_answer], [send_complete_answer])
        ):
            domain = "ab"[number % 2]
            agent = ScriptedAgent(
                Instance(f"t{number}", "target", f"tcp://{number}", "r", domain, "live", (MODEL,)),
                self.clock,
                script,
                kind,
            )
            self.agents.append(agent)
            self.link.add(agent)
        self.clock.sleep_ms(10)

    def request(self, **changes: object) -> OnlineRequest:
        fields: dict[str, object] = {
            "trace_id": "t",
            "caller": "c",
            "model": MODEL,
            "path": "/v1/completions",
            "body": b"{}",
            "content_digest": "content",
            "head_digest": "head",
            "deadline_ms": self.clock.monotonic_ms() + 5_000,
        }
        return OnlineRequest(**{**fields, **changes})

    def dispatch_count(self) -> int:
        return sum(len(agent.dispatches) for agent in self.agents)


def text_of(messages: list[Chunk | Finished]) -> str:
    return "".join(decode_event(m.data).text() for m in messages if isinstance(m, Chunk))
