"""Tests that the table of result codes in the documentation and in the code are equal."""

import re
from pathlib import Path

from ebonyshore.frame.result_codes import RESULT_INFO, ResultCode

TABLE = Path(__file__).parent.parent / "docs" / "result_codes.md"
ROW = re.compile(r"\| (\d+) \| `(\w+)` \| (.+?) \| (\d+) \| `(\w+)` \| (yes|no) \|")


def test_documented_table_equals_the_code() -> None:
    rows = {
        ROW.fullmatch(line).groups()
        for line in TABLE.read_text().splitlines()
        if ROW.fullmatch(line)
    }
    expected = {
        (
            str(int(code)),
            code.name,
            info.text,
            str(info.http_status),
            info.execution.value,
            "yes" if info.is_retryable else "no",
        )
        for code, info in RESULT_INFO.items()
    }
    assert rows == expected


def test_every_code_has_properties_and_fits_an_exit_status() -> None:
    assert set(RESULT_INFO) == set(ResultCode)
    assert all(0 <= code <= 255 for code in ResultCode)
