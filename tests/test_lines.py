"""Properties of the first line of the platform's text protocol: what is read of it, and what goes on."""

from __future__ import annotations

from hypothesis import example, given
from hypothesis import strategies as st

from sailrun.text_protocol.lines import InvalidLineError, parse_open_request

CLASSES = {"page-load"}
PRINTABLE = [chr(code) for code in range(0x21, 0x7F)]
WAIT = "d=2000"
# Words and fields that resemble the deadline, beside arbitrary ones.
words = st.one_of(
    st.sampled_from([WAIT, "x,d=2000", ",d=1", "d=", "=d=2000"]),
    st.text(st.sampled_from(PRINTABLE), min_size=1, max_size=12),
)
field_texts = st.one_of(
    st.sampled_from(["c=page-load", WAIT, "d=07", "h=5", "g=d=7", "D=3", "dd=4", "r=1", "again=1", "at=s-1"]),
    st.text(st.sampled_from(PRINTABLE), max_size=12),
)
line_endings = st.sampled_from(["\r\n", "\n", "\r\r\n"])


def without_wait(line: bytes) -> tuple[bytes, ...]:
    """Returns the parts of a first line, with an empty value for the field `d`."""
    content = line.rstrip(b"\r\n")
    *line_words, pairs = content.split(b" ")
    fields = [b"d=" if field.startswith(b"d=") else field for field in pairs.split(b",")]
    return (*line_words, b"/", *fields, line[len(content) :])


@given(words, words, st.permutations(["c=page-load", WAIT]), st.lists(field_texts, max_size=4), line_endings)
@example("d=2000", "7f3a", ["c=page-load", WAIT], [], "\r\n")
@example("7f3a", "k,d=1", ["c=page-load", WAIT], ["g=d=7"], "\n")
def test_a_first_line_that_is_accepted_goes_on_with_another_deadline_and_no_other_change(
    id_: str, key: str, required: list[str], more: list[str], ending: str
) -> None:
    # Guards against a client's id or key such as `d=2000` being rewritten in place of the deadline.
    line = f"OPEN {id_} {key} {','.join([*required, *more])}{ending}".encode()
    try:
        request = parse_open_request(line, CLASSES)
    except InvalidLineError:
        return
    forwarded = request.for_form_server(499)
    assert without_wait(forwarded) == without_wait(line)
    assert parse_open_request(forwarded, CLASSES).wait_ms == 499
    assert request.to_line() == line
