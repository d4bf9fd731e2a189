"""Keeps the tasks of a step that wait for a start."""

from collections.abc import Iterator


class PendingTasks:
    """Indices of pending tasks, in the order in which they start.

    Tasks that have not been taken yet come first, by index, then those that
    were returned. Only exceptions from that are stored, so that a step of
    thousands of tasks takes no more memory or time to open than a small one.

    Args:
        count: Number of tasks, all of which are pending.
    """

    __slots__ = ("_count", "_first", "_returned", "_taken")

    def __init__(self, count: int) -> None:
        self._count = count
        self._first = 0
        self._taken: set[int] = set()
        self._returned: dict[int, None] = {}

    def __len__(self) -> int:
        untaken = self._count - self._first - len(self._taken)
        return untaken + len(self._returned)

    def __iter__(self) -> Iterator[int]:
        for index in range(self._first, self._count):
            if index not in self._taken:
                yield index
        yield from self._returned

    def __contains__(self, index: object) -> bool:
        return index in self._returned or (
            isinstance(index, int)
            and self._first <= index < self._count
            and index not in self._taken
        )

    def take(self, index: int) -> None:
        """Removes a task, if it is pending."""
        if index in self._returned:
            del self._returned[index]
        elif index in self:
            self._taken.add(index)
            while self._first in self._taken:
                self._taken.remove(self._first)
                self._first += 1

    def put_back(self, index: int) -> None:
        """Adds a task, unless it is pending."""
        if index not in self:
            self._returned[index] = None

    def clear(self) -> None:
        """Removes all tasks."""
        self._first = self._count
        self._taken.clear()
        self._returned.clear()


if __name__ == "__main__":
    tasks = PendingTasks(4)
    tasks.take(0)
    tasks.put_back(0)
    print(list(tasks))
