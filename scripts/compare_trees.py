r"""Compares two trees of the project on the same days and seeds, pair by pair.

Each day is played in both trees by a rehearsal program, given as an argument, that prints one row
a day: ``DAY ... SCORE WORTH SERVED REFUSED FAILED WEAKEST PART``. The table has a row a pair;
its last lines give the mean difference of worth, its standard error, and broken rules.

    python scripts/compare_trees.py --program BIN --site SITE --before DIR --after DIR \
        --day scale-1 --day trouble-1 --seed 1 --seed 2 --why "hypothesis" [--plot out.png]
"""

import math
import re
import statistics
import subprocess
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Annotated

import msgspec
import typer

ROW = re.compile(
    r"^(?P<day>\S+).*?\s\d+/\d+\s+(?P<score>-?[\d.]+)\s+(?P<worth>-?[\d.]+)\s+(?P<served>[\d.]+)"
    r"\s+(?P<refused>[\d.]+)\s+(?P<failed>[\d.]+)\s+(?P<rest>.*)$"
)


class PlayedDay(msgspec.Struct, frozen=True, kw_only=True):
    """What one play of a day came to; ``broken`` names broken rules, if any."""

    worth: float
    served: float
    failed: float
    broken: str


class Pair(msgspec.Struct, frozen=True, kw_only=True):
    """One day and seed in both trees."""

    day: str
    seed: int
    before: PlayedDay
    after: PlayedDay

    @property
    def difference(self) -> float:
        """Return the gain in worth."""
        return self.after.worth - self.before.worth


class Comparison(msgspec.Struct, frozen=True, kw_only=True):
    """The arguments that all plays share."""

    program: Path
    site: Path
    reason: str
    options: tuple[str, ...] = ()

    def play(self, tree: Path, day: str, seed: int) -> PlayedDay:
        """Play a day in a tree.

        Raises:
            ValueError: The program printed no row of figures.
        """
        command = [str(self.program), "run", str(self.site), day, "--seed", str(seed)]
        command += ["--why", self.reason, *self.options]
        done = subprocess.run(command, cwd=tree, capture_output=True, text=True, check=False)
        for line in (done.stdout + done.stderr).splitlines():
            found = ROW.match(line)
            if found is not None:
                return _played(found)
        raise ValueError(f"no figures of {day} seed {seed} in {tree}: {done.stderr[-500:]}")


def _played(found: re.Match[str]) -> PlayedDay:
    _, separator, rules = found["rest"].partition("BROKEN:")
    return PlayedDay(
        worth=float(found["worth"]),
        served=float(found["served"]),
        failed=float(found["failed"]),
        broken=rules.strip() if separator else "",
    )


def compare_trees(
    program: Annotated[Path, typer.Option(exists=True, help="The rehearsal program.")],
    site: Annotated[Path, typer.Option(exists=True, help="The deployment to play.")],
    before: Annotated[Path, typer.Option(exists=True, help="Tree without the change.")],
    after: Annotated[Path, typer.Option(exists=True, help="Tree with the change.")],
    day: Annotated[list[str], typer.Option(help="A day; may be given several times.")],
    seed: Annotated[list[int], typer.Option(help="A seed; may be given several times.")],
    why: Annotated[str, typer.Option(help="The hypothesis, for the journal of the plays.")],
    jobs: Annotated[int, typer.Option(min=1, help="Plays at the same time.")] = 2,
    option: Annotated[
        list[str] | None, typer.Option(help="Passed on to the program, as --option=--small.")
    ] = None,
    plot: Annotated[Path | None, typer.Option(help="Where to draw the pairs.")] = None,
) -> None:
    """Play each day with each seed in both trees, and print the pairs."""
    options = tuple(option or ())
    comparison = Comparison(program=program, site=site, reason=why, options=options)
    cases = [(name, number) for name in day for number in seed]
    with ThreadPoolExecutor(jobs) as executor:
        plays = [
            (
                executor.submit(comparison.play, before, *c),
                executor.submit(comparison.play, after, *c),
            )
            for c in cases
        ]
        pairs = [
            Pair(day=name, seed=number, before=first.result(), after=second.result())
            for (name, number), (first, second) in zip(cases, plays, strict=True)
        ]
    for pair in pairs:
        typer.echo(_row(pair))
    typer.echo(_summary(pairs))
    if plot is not None:
        _draw(pairs, plot)


def _row(pair: Pair) -> str:
    return (
        f"{pair.day:12} {pair.seed:8} worth {pair.before.worth:6.3f} {pair.after.worth:6.3f}"
        f" {pair.difference:+6.3f} failed {pair.before.failed:.3f} {pair.after.failed:.3f}"
        f" {pair.before.broken} {pair.after.broken}"
    )


def _summary(pairs: list[Pair]) -> str:
    differences = [pair.difference for pair in pairs]
    mean = statistics.fmean(differences)
    error = statistics.stdev(differences) / math.sqrt(len(pairs)) if len(pairs) > 1 else math.nan
    before = statistics.fmean(pair.before.worth for pair in pairs)
    after = statistics.fmean(pair.after.worth for pair in pairs)
    return (
        f"{len(pairs)} pairs: mean worth {before:.3f} to {after:.3f},"
        f" difference {mean:+.3f}, standard error {error:.3f}"
    )


def _draw(pairs: list[Pair], path: Path) -> None:
    from matplotlib import pyplot

    figure, axes = pyplot.subplots()
    axes.scatter([pair.before.worth for pair in pairs], [pair.after.worth for pair in pairs])
    axes.axline((0, 0), slope=1, color="grey")
    axes.set_xlabel("worth before")
    axes.set_ylabel("worth after")
    figure.savefig(path)


if __name__ == "__main__":
    typer.run(compare_trees)
