"""Reads tables and examples from the project's documents."""

import re
from pathlib import Path

import msgspec
from markdown_it import MarkdownIt

DOCS = Path(__file__).parent.parent / "docs"
_FIRST_CELL = re.compile(r"^\| `?([^`|]+?)`? \|", re.MULTILINE)


class Section(msgspec.Struct, frozen=True):
    """The text between one heading and the next."""

    title: str
    text: str

    def first_cells(self) -> list[str]:
        """Return the first cell of each table row, without header rows."""
        cells = _FIRST_CELL.findall(self.text)
        return [cell for cell in cells[1:] if cell.strip("- ")]


class Example(msgspec.Struct, frozen=True):
    """A fenced code block and its language."""

    language: str
    text: str


def sections(name: str) -> dict[str, Section]:
    """Return the sections of a document by title."""
    titles_and_texts = re.split(r"^#+ (.+)$", (DOCS / name).read_text(), flags=re.MULTILINE)
    return {
        title: Section(title, text)
        for title, text in zip(titles_and_texts[1::2], titles_and_texts[2::2], strict=True)
    }


def examples(name: str) -> list[Example]:
    """Return the fenced blocks of a document."""
    tokens = MarkdownIt().parse((DOCS / name).read_text())
    return [Example(token.info, token.content) for token in tokens if token.type == "fence"]
