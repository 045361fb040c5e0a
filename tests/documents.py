"""Reads tables and examples out of the project's documents."""

import re
from pathlib import Path

import msgspec
from markdown_it import MarkdownIt

DOCS = Path(__file__).parent.parent / "docs"
_FIRST_CELL = re.compile(r"^\| `?([^`|]+?)`? \|", re.MULTILINE)


class Section(msgspec.Struct, frozen=True):
    """The text below one heading, up to the next one."""

    title: str
    text: str

    def first_cells(self) -> list[str]:
        """Return the first cell of each table row, headings left out."""
        cells = _FIRST_CELL.findall(self.text)
        return [cell for cell in cells[1:] if cell.strip("- ")]


class Example(msgspec.Struct, frozen=True):
    """A fenced block and the heading it stands under."""

    language: str
    text: str


def sections(name: str) -> dict[str, Section]:
    """Return the sections of a document by title."""
    parts = re.split(r"^#+ (.+)$", (DOCS / name).read_text(), flags=re.MULTILINE)
    return {
        title: Section(title, text) for title, text in zip(parts[1::2], parts[2::2], strict=True)
    }


def examples(name: str) -> list[Example]:
    """Return the fenced blocks of a document."""
    tokens = MarkdownIt().parse((DOCS / name).read_text())
    return [Example(token.info, token.content) for token in tokens if token.type == "fence"]
