"""Tests of the log output under load and with a slow or closed reader."""

import os

import pytest

from dotterelweird import log_output


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    for descriptor in (reader, writer):
        try:
            os.close(descriptor)
        except OSError:
            continue


class Clock:
    now_s = 0.0

    def __call__(self):
        return self.now_s


def read_all(reader):
    os.set_blocking(reader, False)
    data = b''
    while True:
        try:
            part = os.read(reader, 65536)
        except BlockingIOError:
            return data
        if not part:
            return data
        data += part


def test_a_slow_reader_does_not_block(pipe):
    """Guards against an instance that blocks on a slow log reader."""
    reader, writer = pipe
    clock = Clock()
    output = log_output.BoundedOutput(writer, clock)
    line = 'x' * 999 + '\n'
    for number in range(2000):
        clock.now_s = number / 500
        output.write(line)
    assert output.dropped > 1000
    lines = read_all(reader).split(b'\n')
    assert {len(part) for part in lines[:-1]} == {999}
    clock.now_s = 10.0
    output.write('after\n')
    output.flush()
    rest = b''
    for _ in range(20):
        part = read_all(reader)
        rest += part
        output.flush()
    assert b'log-lines-dropped' in rest
    assert rest.endswith(b'after\n')


def test_the_line_rate_is_bounded(pipe):
    """Guards against log output that uses up the processor under load."""
    reader, writer = pipe
    clock = Clock()
    output = log_output.BoundedOutput(writer, clock)
    for _ in range(1500):
        output.write('a\n')
    assert output.dropped == 500
    clock.now_s = 1.0
    output.write('b\n')
    data = read_all(reader)
    assert data.count(b'a\n') == 1000
    assert b'"lines": 500' in data


def test_a_closed_reader_raises_no_error(pipe):
    """Guards against an instance that fails when its log reader closes."""
    reader, writer = pipe
    output = log_output.BoundedOutput(writer, Clock())
    os.close(reader)
    output.write('a\n')
    output.write('b\n')
    assert output.dropped == 2
