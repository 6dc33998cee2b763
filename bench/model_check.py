"""Explores the submission protocol model and prints the states visited.

Run as `python bench/model_check.py MAX_STATES FAULTS TAKEOVERS`.
"""

import pathlib
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parent.parent / 'features')
)

from models import submission_model


def main() -> None:
    """Explore every mode of the model with the given budget."""
    max_states, faults, takeovers = map(int, sys.argv[1:])
    for mode in submission_model.Mode:
        started_s = time.monotonic()
        report = submission_model.search(
            mode,
            max_states=max_states,
            budget=submission_model.Budget(
                crashes=1, faults=faults, takeovers=takeovers
            ),
        )
        elapsed_s = round(time.monotonic() - started_s, 1)
        print(mode.value, report, f'{elapsed_s} s', flush=True)


if __name__ == '__main__':
    main()
