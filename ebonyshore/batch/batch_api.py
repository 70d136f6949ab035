"""The files and batches endpoints of the OpenAI-style API."""

from collections.abc import Callable, Iterator
from functools import wraps
from typing import Any

from msgspec import ValidationError, convert
from msgspec.json import decode, encode

from ebonyshore.batch.job_files import parse_item
from ebonyshore.batch.job_scheduling import ShardSizer
from ebonyshore.batch.job_store import JobRequest, JobStore, OutcomeCounts
from ebonyshore.batch.jobs import FileRecord, ItemOutcome, JobRecord, JobState
from ebonyshore.entry.openai_api import GENERATION_PATHS
from ebonyshore.frame.clock import MS_PER_S, Clock
from ebonyshore.frame.errors import RequestError, StoreError
from ebonyshore.frame.result_codes import RESULT_INFO, ResultCode
from ebonyshore.http.numbers import parse_decimal
from ebonyshore.settings.settings_service import SettingsService

OUTPUT_SUFFIX = "-output"
ERROR_SUFFIX = "-errors"
STORE_RETRY_AFTER_MS = 2_000
WINDOW_UNITS_MS = {"m": 60_000, "h": 3_600_000, "d": 86_400_000}


def _with_retry_after(call: Callable[..., Any]) -> Callable[..., Any]:
    """Set a retry interval on retryable store errors that have none."""

    @wraps(call)
    def wrapped(*arguments: object) -> Any:
        try:
            return call(*arguments)
        except StoreError as error:
            if error.retry_after_ms is None and RESULT_INFO[error.code].is_retryable:
                error.retry_after_ms = STORE_RETRY_AFTER_MS
            raise

    return wrapped


class BatchApi:
    """Handles callers' requests about files and batches.

    Except for :meth:`read_content`, each method returns the JSON object of the response. All raise
    a :class:`RequestError` for an invalid request or an unknown id, and a :class:`StoreError` if
    the store fails. Files and jobs of other callers count as unknown.

    :param jobs: the stored files and jobs.
    :param settings: gives the tier of each model.
    :param sizer: chooses the shard size of new jobs.
    """

    def __init__(
        self, jobs: JobStore, settings: SettingsService, sizer: ShardSizer, clock: Clock
    ) -> None:
        self._jobs = jobs
        self._settings = settings
        self._sizer = sizer
        self._clock = clock

    @_with_retry_after
    def save_file(self, caller: str, purpose: str, filename: str, data: bytes) -> dict[str, Any]:
        """Store an uploaded file."""
        return _file_object(self._jobs.files.save(caller, purpose, filename, data))

    @_with_retry_after
    def read_file(self, caller: str, file_id: str) -> dict[str, Any]:
        """Return the file object of a file."""
        return _file_object(self._jobs.files.read(file_id, caller))

    @_with_retry_after
    def read_content(self, caller: str, file_id: str) -> Iterator[bytes]:
        """Return the lines of an uploaded file, or of a batch's output or error file.

        The lines are read from the store while the iterator is consumed, which may raise a
        :class:`StoreError`, too.
        """
        for suffix, is_output in ((OUTPUT_SUFFIX, True), (ERROR_SUFFIX, False)):
            if file_id.endswith(suffix):
                job = self._read_job(caller, file_id.removesuffix(suffix))
                return self._encode_outcomes(job, is_output)
        record = self._jobs.files.read(file_id, caller)
        lines = self._jobs.files.read_lines(record, range(sum(record.part_lines)))
        return (line + b"\n" for line in lines)

    @_with_retry_after
    def create(self, caller: str, fields: dict[str, Any], idempotency_key: str) -> dict[str, Any]:
        """Create a batch job.

        :param fields: the JSON object of the request.
        :param idempotency_key: the caller's idempotency key; empty for none.
        """
        endpoint = fields.get("endpoint")
        if endpoint not in GENERATION_PATHS:
            raise RequestError(
                f"endpoint: found {endpoint!r}; allowed: {', '.join(GENERATION_PATHS)}"
            )
        file_id = str(fields.get("input_file_id", ""))
        window = str(fields.get("completion_window", "24h"))
        tier = self._find_tier(caller, file_id)
        request = JobRequest(
            caller,
            tier,
            file_id,
            endpoint,
            self._clock.wall_ms() + _parse_window_ms(window),
            _parse_metadata(fields.get("metadata")),
            idempotency_key,
            window,
            self._sizer.shard_size(tier),
            self._settings.current().revision,
        )
        return self._describe(self._jobs.accept(request))

    @_with_retry_after
    def read(self, caller: str, batch_id: str) -> dict[str, Any]:
        """Return the batch object of a job."""
        return self._describe(self._read_job(caller, batch_id))

    @_with_retry_after
    def cancel(self, caller: str, batch_id: str) -> dict[str, Any]:
        """Start the cancellation of a job and return its batch object."""
        self._read_job(caller, batch_id)
        return self._describe(self._jobs.cancel(batch_id))

    @_with_retry_after
    def list_jobs(self, caller: str) -> dict[str, Any]:
        """List a caller's jobs; their counts only cover shards that have ended."""
        jobs = [job for job in self._jobs.list_jobs() if job.caller == caller]
        data = [_batch_object(job, _counts_of_ended_shards(job)) for job in jobs]
        return {"object": "list", "data": data, "has_more": False}

    def _read_job(self, caller: str, job_id: str) -> JobRecord:
        job = self._jobs.read_job(job_id)
        if job.caller != caller:
            raise RequestError(f"job {job_id}", code=ResultCode.NOT_FOUND)
        return job

    def _describe(self, job: JobRecord) -> dict[str, Any]:
        return _batch_object(job, self._jobs.read_progress(job))

    def _find_tier(self, caller: str, file_id: str) -> str:
        """Return the tier of the first line that names a known model.

        Other lines may be invalid; their items fail.

        :raises RequestError: if no line names a known model.
        """
        record = self._jobs.files.read(file_id, caller)
        settings = self._settings.current()
        last_error = RequestError(file_id)
        for line in self._jobs.files.read_lines(record, range(sum(record.part_lines))):
            try:
                model = str(parse_item(line).body.get("model", ""))
            except RequestError as error:
                last_error = error
                continue
            tier = settings.tier_of(model)
            if tier is not None:
                return tier
            last_error = RequestError(model, code=ResultCode.UNKNOWN_MODEL)
        raise last_error

    def _encode_outcomes(self, job: JobRecord, is_output: bool) -> Iterator[bytes]:
        """Yield the lines of a job's output file, or of its error file."""
        for outcome in self._jobs.read_outcomes(job):
            if (outcome.code is ResultCode.OK) == is_output:
                yield encode(_outcome_object(job, outcome)) + b"\n"


def _parse_window_ms(window: str) -> int:
    """Convert a window such as ``24h`` to ms.

    :raises RequestError: if it is not a positive integer with a unit.
    """
    unit_ms = WINDOW_UNITS_MS.get(window[-1:])
    count = parse_decimal(window[:-1])
    if unit_ms is None or not count:
        raise RequestError(
            f"completion_window: found {window!r}; allowed: a positive integer and m, h or d"
        )
    return count * unit_ms


def _parse_metadata(value: object) -> dict[str, str]:
    try:
        return convert(value or {}, dict[str, str])
    except ValidationError as error:
        raise RequestError(f"metadata: {error}") from error


def _counts_of_ended_shards(job: JobRecord) -> OutcomeCounts:
    return OutcomeCounts(job.completed_items, job.failed_items)


def _file_object(record: FileRecord) -> dict[str, Any]:
    return {
        "id": record.file_id,
        "object": "file",
        "bytes": record.size_bytes,
        "created_at": record.created_wall_ms // MS_PER_S,
        "filename": record.filename,
        "purpose": record.purpose,
        "status": "processed",
    }


def _batch_object(job: JobRecord, progress: OutcomeCounts) -> dict[str, Any]:
    has_output = job.is_ended and job.completed_items
    has_errors = job.is_ended and job.failed_items
    return {
        "id": job.job_id,
        "object": "batch",
        "endpoint": job.endpoint,
        "input_file_id": job.file_id,
        "completion_window": job.completion_window,
        "status": job.state.value,
        "output_file_id": job.job_id + OUTPUT_SUFFIX if has_output else None,
        "error_file_id": job.job_id + ERROR_SUFFIX if has_errors else None,
        "created_at": job.created_wall_ms // MS_PER_S,
        "expires_at": job.due_wall_ms // MS_PER_S,
        "completed_at": job.ended_wall_ms // MS_PER_S if job.state is JobState.COMPLETED else None,
        "cancelled_at": job.ended_wall_ms // MS_PER_S if job.state is JobState.CANCELLED else None,
        "request_counts": {
            "total": job.item_count,
            "completed": progress.completed,
            "failed": progress.failed,
        },
        "metadata": job.metadata or None,
    }


def _outcome_object(job: JobRecord, outcome: ItemOutcome) -> dict[str, Any]:
    entry: dict[str, Any] = {
        "id": f"{job.job_id}/{outcome.item}",
        "custom_id": outcome.custom_id,
        "response": None,
        "error": None,
    }
    if outcome.code is ResultCode.OK:
        entry["response"] = {
            "status_code": outcome.http_status,
            "request_id": entry["id"],
            "body": decode(outcome.body),
        }
    else:
        text = RESULT_INFO[outcome.code].text
        entry["error"] = {"code": str(int(outcome.code)), "message": outcome.detail or text}
    return entry
