"""Fuzzes the decoders of foreign bytes, for a time.

Each decoder gets random bytes and changed copies of valid inputs. It must return or raise a typed
error, in a time that is proportional to the size of the input. The exit status is 1 if one did not;
the shortest input that shows it is printed.
"""

import sys
from pathlib import Path
from re import MULTILINE
from re import compile as compile_pattern
from time import monotonic, process_time
from typing import Annotated

import typer
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st
from msgspec import Struct

sys.path.insert(0, str(Path(__file__).parent.parent))

from tools.fuzz_targets import FUZZ_TARGETS, FuzzTarget  # noqa: E402 - needs the path above

EXAMPLES_PER_ROUND = 300
BASE_S = 0.5  # processor time that any input may take
S_PER_BYTE = 20e-6
MAX_EDITS = 6
MAX_REPEATS = 20_000
MAX_INPUT_BYTES = 200_000
MAX_EDIT_POSITION = 1_000  # bytes
# Pieces that decoders have to watch for in JSON, MessagePack, HTTP and event streams.
PIECES = (
    *(
        b'"',
        b"\\",
        b"[",
        b"]",
        b"{",
        b"}",
        b",",
        b":",
        b"\\udcff",
        b"\\u0000",
        b"\xff",
        b"\xed\xb2",
    ),
    *(b"NaN", b"1e999", b"-1", b"9" * 30, b"9" * 5_000, b"1.5", b"null", b"true", b'""', b"[]"),
    *(b"65536", b"\x00", b"\x91", b"\x81", b"\xdd\xff\xff\xff\xff", b"\xcb\x7f\xf8" + bytes(6)),
    *(b"\r\n", b"\n\n", b"\r\n\r\n", b"\n", b" ", b"%ff", b"//[", b"id: 1\n", b"data: x\n\n"),
    *(b"Content-Length: 99\r\n", b"Transfer-Encoding: chunked\r\n", b"HTTP/1.1 100 C\r\n\r\n"),
    *(b"Connection: upgrade\r\nUpgrade: h2c\r\n", b"HTTP/1.1 101 S\r\n\r\n", b"CONNECT a:1 "),
)

_WORD = compile_pattern(rb"\b|^|$", MULTILINE)


class Edit(Struct, frozen=True):
    """A change of an input: a part of it is replaced by copies of a piece.

    :param at: where the part begins: the number of a word or a line of the input, modulo the
        number of all.
    :param removed: length of the part.
    """

    at: int
    removed: int
    piece: bytes
    repeats: int


class SlowDecoderError(AssertionError):
    """A decoder has taken more time than an input of its size may take."""


def edit_input(data: bytes, edits: list[Edit]) -> bytes:
    """Return an input with some changes; it is at most ``MAX_INPUT_BYTES`` long."""
    for edit in edits:
        starts = [match.start() for match in _WORD.finditer(data[:MAX_EDIT_POSITION])]
        start = starts[edit.at % len(starts)]
        data = data[:start] + edit.piece * edit.repeats + data[start + edit.removed :]
        data = data[:MAX_INPUT_BYTES]
    return data


def inputs(target: FuzzTarget) -> st.SearchStrategy[bytes]:
    """Return the inputs to try: random bytes and changed examples."""
    repeats = st.one_of(st.just(1), st.integers(0, 3), st.sampled_from((300, 1_000, MAX_REPEATS)))
    pieces = st.one_of(st.sampled_from(PIECES), st.binary(max_size=8))
    edits = st.builds(Edit, st.integers(0, 1_000), st.integers(0, 40), pieces, repeats)
    changed = st.builds(
        edit_input, st.sampled_from(target.examples), st.lists(edits, max_size=MAX_EDITS)
    )
    return st.one_of(changed, st.binary(max_size=200))


def check_input(target: FuzzTarget, data: bytes) -> None:
    """Give one input to a decoder.

    :raises SlowDecoderError: if it takes too long.
    :raises Exception: whatever the decoder should not have raised.
    """
    started_s = process_time()
    target.check(data)
    used_s = process_time() - started_s
    if used_s > BASE_S + S_PER_BYTE * len(data):
        raise SlowDecoderError(f"{target.name}: {used_s:.1f} s for {len(data)} bytes")


def fuzz(target: FuzzTarget, round_seed: int, examples: int = EXAMPLES_PER_ROUND) -> None:
    """Try the examples of a target and some other inputs.

    :param round_seed: determines the inputs.
    :raises Exception: what the decoder raised for the simplest input that was found.
    """

    @seed(round_seed)
    @settings(
        max_examples=examples,
        deadline=None,
        database=None,
        phases=(Phase.generate, Phase.shrink),
        suppress_health_check=list(HealthCheck),
    )
    @given(inputs(target))
    def check(data: bytes) -> None:
        check_input(target, data)

    for example in target.examples:
        check_input(target, example)
    check()


def main(
    first_seed: Annotated[int, typer.Option("--seed", help="Seed of the first round.")] = 0,
    seconds: Annotated[float, typer.Option(help="How long to try.")] = 60.0,
) -> None:
    """Fuzz all decoders in turn until the time is over or one has a fault."""
    end_s, round_seed = monotonic() + seconds, first_seed
    while monotonic() < end_s:
        for target in FUZZ_TARGETS:
            try:
                fuzz(target, round_seed)
            except Exception as error:  # noqa: BLE001 - any error is a fault of the decoder
                print(f"decoder={target.name} seed={round_seed} error={error!r}")
                print("\n".join(getattr(error, "__notes__", [])))
                raise typer.Exit(1) from error
        round_seed += 1
    examples = (round_seed - first_seed) * EXAMPLES_PER_ROUND
    print(f"seeds={first_seed}..{round_seed - 1} inputs_per_decoder={examples} faults=0")


if __name__ == "__main__":
    typer.run(main)
