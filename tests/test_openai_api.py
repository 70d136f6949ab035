"""Validation and content digests of generation requests."""

import pytest
from msgspec.json import encode

from ebonyshore.entry.openai_api import COMPLETIONS_PATH, check_generation, parse_generation
from ebonyshore.frame.errors import RequestError
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.settings.settings_tree import SettingsTree

TREE = SettingsTree(
    1, {"/": {"max_output_tokens": 50}, "/tiers/t": {}, "/tiers/t/models/reader": {}}
)


def make_request(**fields: object):
    body = {"model": "reader", "prompt": "is it alive", **fields}
    return parse_generation(COMPLETIONS_PATH, encode(body))


@pytest.mark.parametrize("field", ["max_tokens", "max_completion_tokens"])
def test_limit_of_output_tokens_is_enforced(field: str) -> None:
    """Guards against a limit that is accepted as a setting but not applied to requests."""
    check_generation(make_request(**{field: 50}), TREE)
    check_generation(make_request(), TREE)
    with pytest.raises(RequestError, match="max_tokens: found 51; at most 50") as refusal:
        check_generation(make_request(**{field: 51}), TREE)
    assert refusal.value.code is ResultCode.INVALID_REQUEST


def test_unknown_model_is_refused() -> None:
    with pytest.raises(RequestError) as refusal:
        check_generation(make_request(model="missing"), TREE)
    assert refusal.value.code is ResultCode.UNKNOWN_MODEL


def test_labels_and_the_order_of_fields_do_not_change_the_content() -> None:
    """Guards against content that crashes targets and evades suspicion under another label."""
    plain = make_request(temperature=0)
    labelled = make_request(user="u-2", metadata={"id": "7"}, stream=True, temperature=0)
    reordered = parse_generation(
        COMPLETIONS_PATH, encode({"temperature": 0, "prompt": "is it alive", "model": "reader"})
    )
    assert plain.content_digest == labelled.content_digest == reordered.content_digest
    assert plain.content_digest != make_request(temperature=1).content_digest
