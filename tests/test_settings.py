"""Tests of settings files."""

import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies

from laurelrock import errors
from laurelrock import settings

GOOD = """\
[vm]
name = e1
address = 127.0.0.1
failure_domain = a
region = r
[platform]
url = http://127.0.0.1:7100
"""


def with_line(section: str, line: str) -> str:
    """Returns the valid settings with an additional line in a section."""
    if f"[{section}]" in GOOD:
        return GOOD.replace(f"[{section}]", f"[{section}]\n{line}")
    return f"{GOOD}[{section}]\n{line}\n"


def without_option(name: str) -> str:
    """Returns the valid settings without an option."""
    lines = GOOD.splitlines(keepends=True)
    return "".join(line for line in lines if not line.startswith(name))


#: Text of the file, and texts that the error message must contain besides the
#: file name.
BAD = [
    ("", ["[vm]", "'name'", "required"]),
    ("name = e1\n", ["no section headers"]),
    ("[vm\n", ["no section headers"]),
    (GOOD + "[vm]\n", ["section 'vm' already exists"]),
    (GOOD + "rubbish\n", ['[line 8]', 'rubbish']),
    (GOOD + "[nothing]\n", ["unknown section [nothing]"]),
    (with_line("vm", "colour = red"), ["[vm]", "'colour'", "'red'"]),
    (with_line("vm", "address = a"), ["option 'address'", "already exists"]),
    (GOOD.replace("127.0.0.1\n", "e1.local\n"), ["[vm]", "'e1.local'", "IPv4"]),
    (GOOD.replace("127.0.0.1\n", "127.0.0.256\n"), ["'127.0.0.256'"]),
    (GOOD.replace("127.0.0.1\n", "::1\n"), ["'::1'"]),
    (with_line("entry", "http_port = x"), ["[entry]", "'http_port'", "'x'"]),
    (with_line("entry", "http_port = 0"), ["'0'", "1..65535"]),
    (with_line("entry", "http_port = 65536"), ["'65536'", "1..65535"]),
    (with_line("entry", "http_port = 80.5"), ["'80.5'", "integer"]),
    (with_line("entry", "silence_ms = nan"), ["'nan'", "1..10000"]),
    (with_line("entry", "silence_ms = inf"), ["'inf'", "1..10000"]),
    (with_line("entry", "silence_ms = -1"), ["'-1'"]),
    (with_line("entry", "silence_ms = 1 s"), ["'1 s'", "not a number"]),
    (with_line("entry", "silence_ms ="), ["''", "not a number"]),
    (with_line("peers", "seeds = e1"), ["[peers]", "'seeds'", "'e1'"]),
    (with_line("peers", "seeds = 127.0.0.1:0"), ["'127.0.0.1:0'", "IP:port"]),
    (with_line("log", "level = loud"), ["[log]", "'loud'", "debug"]),
    *((without_option(name), [f"'{name}'", "required"])
      for name in ("name", "address", "failure_domain", "region", "url")),
]  # fmt: skip


class SettingsTest(unittest.TestCase):
    def test_defaults(self):
        options = settings.parse(GOOD)
        self.assertEqual(options.vm.address, "127.0.0.1")
        self.assertEqual(options.peers.seeds, [])
        self.assertEqual(options.entry.http_port, 8080)

    def test_example_file(self):
        folder = pathlib.Path(__file__).resolve().parent.parent / "examples"
        options = settings.load(folder / "laurelrock.ini")
        self.assertEqual(len(options.peers.seeds), 4)

    def test_errors_name_the_file_section_option_and_value(self):
        for text, expected in BAD:
            with self.subTest(expected):
                with self.assertRaises(errors.SettingsError) as caught:
                    settings.parse(text, "file.ini")
                for part in ["file.ini", *expected]:
                    self.assertIn(part, caught.exception.message)

    def test_unreadable_files(self):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            binary = folder / "binary.ini"
            binary.write_bytes(b"\xff\xfe\x00")
            for path in (folder, folder / "missing", binary):
                with self.subTest(path):
                    with self.assertRaises(errors.SettingsError) as caught:
                        settings.load(path)
                    self.assertIn(str(path), caught.exception.message)

    def test_numbers_beyond_their_bounds_are_rejected(self):
        for option in settings.OPTIONS:
            if option.kind not in ("int", "float"):
                continue
            for value, accepted in (
                (option.minimum, True),
                (option.maximum, True),
                (option.minimum - 1, False),
                (option.maximum + 1, False),
            ):
                line = f"{option.name} = {value:.0f}"
                with self.subTest(section=option.section, line=line):
                    text = with_line(option.section, line)
                    if accepted:
                        settings.parse(text)
                    else:
                        with self.assertRaises(errors.SettingsError):
                            settings.parse(text)

    @hypothesis.settings(max_examples=500, deadline=None, derandomize=True)
    @hypothesis.given(strategies.text(max_size=200))
    def test_arbitrary_text_raises_only_settings_errors(self, text):
        try:
            settings.parse(text + GOOD)
        except errors.SettingsError as error:
            self.assertTrue(error.message)
