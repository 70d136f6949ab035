"""Messages between entries and agents.

Each message is a tagged struct. Unknown fields are ignored and missing ones have defaults, so that
processes of neighbouring versions understand each other; :class:`Hello` and :class:`Welcome` carry
the protocol version.
"""

from enum import Enum

from msgspec import Struct

from ebonyshore.frame.result_codes import Execution, ResultCode

PROTOCOL_VERSION = 1


class WorkClass(Enum):
    """Online requests go before batch items."""

    ONLINE = "online"
    BATCH = "batch"


class Permit(Struct, frozen=True):
    """Bounds the time in which a batch item may be started.

    :param incarnation: run of the agent that the clock reading belongs to.
    :param agent_tick_ms: the agent's own monotonic time, as last heard by the entry before it began
        the read that confirmed job and lease.
    """

    incarnation: str
    agent_tick_ms: float


class Usage(Struct, frozen=True):
    """Tokens of one answer."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class Load(Struct, frozen=True):
    """Load of a target as its agent sees it.

    :param online_running: online requests in the target.
    :param online_waiting: online requests held by the agent.
    :param batch_running: batch items in the target.
    :param batch_room: batch items that the agent would take now.
    :param max_running: most requests in the target.
    :param step_ms: recent time of one engine step.
    """

    online_running: int = 0
    online_waiting: int = 0
    batch_running: int = 0
    batch_room: int = 0
    max_running: int = 0
    step_ms: float = 0.0


class Hello(Struct, tag="hello", frozen=True):
    """Opens a connection; sent again after silence."""

    entry_id: str
    settings_revision: int
    protocol_version: int = PROTOCOL_VERSION


class Welcome(Struct, tag="welcome", frozen=True):
    """Answers :class:`Hello`."""

    agent_id: str
    incarnation: str
    models: tuple[str, ...]
    settings_revision: int
    tick_ms: float
    load: Load = Load()
    kind: str = "engine"
    is_leaving: bool = False
    protocol_version: int = PROTOCOL_VERSION


class Ping(Struct, tag="ping", frozen=True):
    """Heartbeat of an entry; the agent answers with :class:`LoadReport`."""

    settings_revision: int


class LoadReport(Struct, tag="load_report", frozen=True):
    """Heartbeat of an agent.

    :param tick_ms: the agent's monotonic time, for :class:`Permit`.
    :param lowest_entry_revision: lowest settings revision of the entries connected to the agent.
    """

    incarnation: str
    settings_revision: int
    tick_ms: float
    load: Load
    models: tuple[str, ...] = ()
    is_leaving: bool = False
    lowest_entry_revision: int = 0


class Dispatch(Struct, tag="dispatch", frozen=True):
    """Asks the agent to run one request.

    :param request_id: unique for each dispatch; a retry has another one.
    :param incarnation: run of the agent that the dispatch is meant for.
    :param path: path of the target's API.
    :param body: request body, passed on unchanged.
    :param deadline_left_ms: time left when the dispatch was sent.
    :param content_digest: of model and body, for crash suspicion.
    :param settings_revision: revision under which the entry admitted the request.
    :param is_repeatable: whether the request may run more than once.
    :param is_suspect: whether the content was in flight when a target crashed.
    :param permit: only for batch items.
    :param trace_id: id that follows the request or item through all logs.
    :param resume_text: answer so far, to be continued.
    """

    request_id: str
    incarnation: str
    work_class: WorkClass
    path: str
    body: bytes
    deadline_left_ms: float
    content_digest: str
    settings_revision: int
    caller: str = ""
    tier: str = ""
    model: str = ""
    is_repeatable: bool = True
    is_suspect: bool = False
    is_stream: bool = False
    permit: Permit | None = None
    trace_id: str = ""
    resume_text: str = ""


class Cancel(Struct, tag="cancel", frozen=True):
    """Cancels a request; answered by the request's final message."""

    request_id: str


class Started(Struct, tag="started", frozen=True):
    """A suspect is in the target now; sent for suspects only, which may wait long before."""

    request_id: str


class Chunk(Struct, tag="chunk", frozen=True):
    """A part of an answer.

    :param sequence: 0 for the first chunk of a request, then one more each.
    :param data: one event of the target's stream, or a part of a plain answer's body.
    """

    request_id: str
    sequence: int
    data: bytes


class Finished(Struct, tag="finished", frozen=True):
    """The answer is complete.

    :param chunk_count: number of chunks sent before.
    """

    request_id: str
    chunk_count: int
    http_status: int = 200
    content_type: str = "application/json"
    usage: Usage = Usage()
    load: Load = Load()


class Refused(Struct, tag="refused", frozen=True):
    """The request was not started, and will not be."""

    request_id: str
    code: ResultCode
    retry_after_ms: int = 0
    settings_revision: int = 0
    incarnation: str = ""
    detail: str = ""
    load: Load = Load()


class Failed(Struct, tag="failed", frozen=True):
    """The request ended without a complete answer."""

    request_id: str
    code: ResultCode
    execution: Execution
    detail: str = ""
    resume_text: str = ""
    wasted_tokens: int = 0
    load: Load = Load()


class Verdict(Struct, frozen=True):
    """Crash suspicion of one content.

    :param crash_count: targets that crashed while they ran the content.
    :param is_convicted: whether the content is refused.
    :param age_ms: time since the last crash, when the message was sent.
    :param crash_ids: of these crashes, so that no process counts one twice.
    """

    content_digest: str
    crash_count: int
    is_convicted: bool
    age_ms: float
    is_cleared: bool = False
    crash_ids: tuple[str, ...] = ()


class VerdictShare(Struct, tag="verdict_share", frozen=True):
    """Exchanges suspicion between processes."""

    verdicts: tuple[Verdict, ...]


class CrashReport(Struct, tag="crash_report", frozen=True):
    """A target crashed.

    :param crash_id: unique for each crash, so that no process counts it twice.
    :param content_digests: of all requests in flight.
    :param suspect_digests: those of them that were suspects before.
    """

    crash_id: str
    agent_id: str
    content_digests: tuple[str, ...]
    suspect_digests: tuple[str, ...] = ()


class SettingsRequest(Struct, tag="settings_request", frozen=True):
    """Asks a peer for its settings if they are newer."""

    known_revision: int


class SettingsSnapshot(Struct, tag="settings_snapshot", frozen=True):
    """The settings tree in force at the sender.

    :param head: the whole head, as JSON; empty if ``changes`` lead to it from the known revision.
    :param changes: the changes after the known revision, as JSON.
    """

    revision: int
    head: bytes = b""
    changes: bytes = b""


class Order(Struct, tag="order", frozen=True):
    """An order to the engine.

    :param duty: the lease under which the order is given.
    :param fencing_number: grows with each holder of the duty's lease.
    :param action: ``load``, ``unload`` or ``set_role``.
    """

    order_id: str
    duty: str
    fencing_number: int
    action: str
    argument: str


class OrderResult(Struct, tag="order_result", frozen=True):
    """Answers :class:`Order`."""

    order_id: str
    code: ResultCode
    detail: str = ""


class CallerUsage(Struct, frozen=True):
    """Requests and tokens of one caller since the last digest.

    :param requests: all that the caller sent.
    :param admitted: those of them that were admitted.
    """

    caller: str
    requests: int
    tokens: int = 0
    admitted: int = 0


class UsageDigest(Struct, tag="usage_digest", frozen=True):
    """Usage that an entry saw, for callers whose home is the agent."""

    usages: tuple[CallerUsage, ...]


class CallerShare(Struct, frozen=True):
    """What an entry may admit of one caller.

    :param admit_ratio: share of the caller's requests to admit, 0 to 1.
    """

    caller: str
    admit_ratio: float


class CallerShares(Struct, tag="caller_shares", frozen=True):
    """Answers :class:`UsageDigest`."""

    shares: tuple[CallerShare, ...]


EntryMessage = (
    Hello
    | Ping
    | Dispatch
    | Cancel
    | Order
    | SettingsSnapshot
    | SettingsRequest
    | VerdictShare
    | CrashReport
    | UsageDigest
)
AgentMessage = (
    Welcome
    | LoadReport
    | Started
    | Chunk
    | Finished
    | Refused
    | Failed
    | OrderResult
    | SettingsSnapshot
    | SettingsRequest
    | VerdictShare
    | CrashReport
    | CallerShares
)
RequestMessage = Chunk | Finished | Refused | Failed
FinalMessage = Finished | Refused | Failed
