"""Messages between entries and agents.

Each message is a tagged struct. Unknown fields are ignored, and fields added later have defaults,
so that processes of adjacent versions can communicate; :class:`Hello` and :class:`Welcome` carry
the protocol version.
"""

from enum import Enum

from msgspec import Struct

from ebonyshore.frame.result_codes import Execution, ResultCode
from ebonyshore.link.wire_types import Finite

PROTOCOL_VERSION = 1


class WorkClass(Enum):
    """Kind of work; online requests take precedence over batch items."""

    ONLINE = "online"
    BATCH = "batch"


class Permit(Struct, frozen=True):
    """Limits how long an agent may start a batch item after the entry confirmed its right to it.

    The agent rejects the item if the reading of its clock is older than the permit interval.

    :param incarnation: run of the agent that the clock reading belongs to.
    :param agent_tick_ms: reading of the agent's monotonic clock that the entry had received before
        it began to confirm in the store that the job still runs and that it holds the lease.
    """

    incarnation: str
    agent_tick_ms: float


class Usage(Struct, frozen=True):
    """Token counts of one request."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class Load(Struct, frozen=True):
    """Load of a target as its agent sees it.

    :param online_running: online requests running in the target.
    :param online_waiting: online requests queued in the agent.
    :param batch_running: batch items running in the target.
    :param batch_room: number of further batch items that the agent would accept now.
    :param max_running: maximum number of requests running in the target.
    :param step_ms: recent duration of one engine step.
    """

    online_running: int = 0
    online_waiting: int = 0
    batch_running: int = 0
    batch_room: int = 0
    max_running: int = 0
    step_ms: float = 0.0


class Hello(Struct, tag="hello", frozen=True):
    """Opens a connection; sent again until the agent replies, also after it has been silent.

    :param entry_id: instance id of the entry.
    :param settings_revision: revision of the settings in force at the entry.
    """

    entry_id: str
    settings_revision: int
    protocol_version: int = PROTOCOL_VERSION


class Welcome(Struct, tag="welcome", frozen=True):
    """Reply to :class:`Hello`.

    :param agent_id: instance id of the agent.
    :param incarnation: run of the agent.
    :param models: models that the target serves.
    :param settings_revision: revision of the settings in force at the agent.
    :param tick_ms: the agent's monotonic time, for :class:`Permit`.
    :param kind: kind of the target, ``engine`` or ``service``.
    :param is_leaving: whether the agent is draining and accepts no new requests.
    """

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
    """Heartbeat of an entry; the agent replies with :class:`LoadReport`."""

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

    :param request_id: unique for each dispatch; a retry has a new one.
    :param incarnation: run of the agent that the dispatch is meant for.
    :param path: path of the target's API.
    :param body: request body, forwarded unchanged.
    :param deadline_left_ms: time until the request's deadline when the dispatch was sent.
    :param content_digest: digest of model and body, for crash suspicion.
    :param settings_revision: settings revision under which the entry admitted the request.
    :param is_repeatable: whether the request may run more than once.
    :param is_suspect: whether the content was in flight when a target crashed.
    :param is_stream: whether the response is an event stream.
    :param permit: set for batch items only.
    :param trace_id: id that identifies the request or item in all logs.
    :param resume_text: the text generated so far, if the request resumes an interrupted response.
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
    """Cancels a request; the agent replies with the request's final message."""

    request_id: str


class Started(Struct, tag="started", frozen=True):
    """The request now runs in the target.

    Sent only for suspect requests, which may be queued for a long time before.
    """

    request_id: str


class Chunk(Struct, tag="chunk", frozen=True):
    """A part of a response.

    :param sequence: position of the chunk in the response, from 0.
    :param data: one event of the target's stream, or a part of the body of a response that is not
        a stream.
    """

    request_id: str
    sequence: int
    data: bytes


class Finished(Struct, tag="finished", frozen=True):
    """The response is complete.

    :param chunk_count: number of chunks of the response, all sent before this message.
    """

    request_id: str
    chunk_count: int
    http_status: int = 200
    content_type: str = "application/json"
    usage: Usage = Usage()
    load: Load = Load()


class Refused(Struct, tag="refused", frozen=True):
    """The request was not started and will not be.

    :param retry_after_ms: time after which a retry on this agent is useful; 0 if the entry should
        retry elsewhere at once.
    :param settings_revision: revision of the settings in force at the agent.
    :param incarnation: run of the agent.
    :param detail: reason, for logs and error messages.
    """

    request_id: str
    code: ResultCode
    retry_after_ms: int = 0
    settings_revision: int = 0
    incarnation: str = ""
    detail: str = ""
    load: Load = Load()


class Failed(Struct, tag="failed", frozen=True):
    """The request ended without a complete response.

    :param execution: whether the request ran in the target.
    :param detail: reason, for logs and error messages.
    :param resume_text: the text generated so far, with which the request can be resumed.
    :param wasted_tokens: number of generated tokens that are lost; 0 with ``resume_text``.
    """

    request_id: str
    code: ResultCode
    execution: Execution
    detail: str = ""
    resume_text: str = ""
    wasted_tokens: int = 0
    load: Load = Load()


class Verdict(Struct, frozen=True):
    """The crash suspicion of one request content.

    :param content_digest: digest of model and body.
    :param crash_count: number of targets that crashed while they ran the content.
    :param is_convicted: whether requests with the content are refused.
    :param age_ms: time from the last crash until the message was sent.
    :param is_cleared: whether a request with the content has completed, which ends the suspicion
        unless the content is convicted. Such a verdict carries no crashes.
    :param crash_ids: ids of these crashes, so that no process counts one twice.
    :param weak_crash_ids: ids of the crashes that are weak evidence, as the content had made some
        progress; they are not in ``crash_ids``.
    """

    content_digest: str
    crash_count: int
    is_convicted: bool
    age_ms: Finite
    is_cleared: bool = False
    crash_ids: tuple[str, ...] = ()
    weak_crash_ids: tuple[str, ...] = ()


class VerdictShare(Struct, tag="verdict_share", frozen=True):
    """Shares crash suspicions between processes."""

    verdicts: tuple[Verdict, ...]


class CrashReport(Struct, tag="crash_report", frozen=True):
    """A target crashed.

    :param crash_id: unique for each crash, so that no process counts it twice.
    :param agent_id: instance id of the target's agent.
    :param content_digests: content digests of all requests in flight.
    :param suspect_digests: those of them that were suspect before the crash.
    :param weak_digests: those of them against which the crash is weak evidence.
    """

    crash_id: str
    agent_id: str
    content_digests: tuple[str, ...]
    suspect_digests: tuple[str, ...] = ()
    weak_digests: tuple[str, ...] = ()


class SettingsRequest(Struct, tag="settings_request", frozen=True):
    """Requests the peer's settings if they are newer.

    :param known_revision: settings revision in force at the sender.
    """

    known_revision: int


class SettingsSnapshot(Struct, tag="settings_snapshot", frozen=True):
    """The settings in force at the sender.

    :param revision: the sender's settings revision.
    :param head: the complete settings head as JSON; empty if applying ``changes`` to the known
        revision yields it.
    :param changes: the changes since the known revision as JSON.
    """

    revision: int
    head: bytes = b""
    changes: bytes = b""


class Order(Struct, tag="order", frozen=True):
    """An order to the engine.

    :param order_id: id that :class:`OrderResult` repeats.
    :param duty: name of the lease under which the order is given.
    :param fencing_number: increases with each holder of the lease.
    :param action: ``load``, ``unload`` or ``set_role``.
    :param argument: argument of the action, such as the model to load.
    """

    order_id: str
    duty: str
    fencing_number: int
    action: str
    argument: str


class OrderResult(Struct, tag="order_result", frozen=True):
    """Reply to :class:`Order`."""

    order_id: str
    code: ResultCode
    detail: str = ""


class CallerUsage(Struct, frozen=True):
    """Requests and tokens of one caller since the previous :class:`UsageDigest`.

    :param requests: number of requests that the caller has sent.
    :param tokens: number of tokens that the caller has used.
    :param admitted: number of those requests that were admitted.
    """

    caller: str
    requests: int
    tokens: int = 0
    admitted: int = 0


class UsageDigest(Struct, tag="usage_digest", frozen=True):
    """Usage that an entry has counted, for the callers whose limits the agent coordinates."""

    usages: tuple[CallerUsage, ...]


class CallerShare(Struct, frozen=True):
    """The share of a caller's requests that an entry may admit.

    :param admit_ratio: fraction of the caller's requests to admit, from 0 to 1.
    """

    caller: str
    admit_ratio: float


class CallerShares(Struct, tag="caller_shares", frozen=True):
    """Reply to :class:`UsageDigest`."""

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
