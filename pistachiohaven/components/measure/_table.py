"""Plain-text table of results."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class Table:
    """Rows under named columns, with notes below."""

    title: str
    columns: tuple[str, ...]
    rows: list[tuple[str, ...]] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    def add(self, *cells: object) -> None:
        """Add one row."""
        self.rows.append(tuple(str(cell) for cell in cells))

    def add_note(self, text: str) -> None:
        """Add one line below the table."""
        self.notes.append(text)

    def text(self) -> str:
        """Return the table as text with right-aligned columns."""
        lines = [self.columns, *self.rows]
        widths = [
            max(len(line[index]) for line in lines) for index in range(len(lines[0]))
        ]
        rendered = [
            "  ".join(
                cell.rjust(width) for cell, width in zip(line, widths, strict=True)
            )
            for line in lines
        ]
        return "\n".join([f"# {self.title}", *rendered, *self.notes]) + "\n"
