"""Tests of the rate-limited sink of log lines."""

import os
import unittest

from laurelrock.adapters import logs


class SinkTest(unittest.TestCase):
    def setUp(self):
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.sink = logs.Sink(writer, 0.0)

    def test_lines_are_written_whole_and_in_order(self):
        for number in range(300):
            self.sink.add(b"line %d" % number)
        self.sink.flush()
        text = os.read(self.reader, 65_536)
        expected = b"".join(b"line %d\n" % n for n in range(300))
        self.assertEqual(text, expected)
        self.assertEqual(self.sink.buffered_bytes, 0)

    def test_slow_reader_never_blocks(self):
        while self.sink.admit(0.0, "request"):
            self.sink.add(b"x" * 1000)
        self.sink.flush()
        self.assertGreater(self.sink.buffered_bytes, 0)
        self.assertLessEqual(
            self.sink.buffered_bytes, logs.MAX_BUFFERED_BYTES + 1001
        )

    def test_rate_is_limited_and_dropped_lines_are_counted(self):
        taken = sum(
            self.sink.admit(second / 1000, "request")
            for second in range(10_000)
        )
        bound = logs.MAX_BURST_LINES + 10 * logs.MAX_LINES_PER_S
        self.assertLessEqual(taken, bound)
        self.assertGreaterEqual(taken, bound * 0.95)
        dropped = self.sink.take_dropped()
        self.assertEqual(dropped, {"request": 10_000 - taken})
        self.assertEqual(self.sink.take_dropped(), {})

    def test_closed_reader(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        os.close(reader)
        sink = logs.Sink(writer, 0.0)
        sink.add(b"line")
        sink.flush()
        self.assertEqual(sink.buffered_bytes, 0)
