"""Capacity model: measures the cost of each part of the program at several fleet sizes and extrapolates it to
the fleet size that the program is designed for.

    python -m benchmarks.capacity measure [GROUP ...]   # runs measurements, stores them in docs/capacity.json
    python -m benchmarks.capacity page                  # recomputes the rows in that file and writes the
                                                        # tables of docs/CAPACITY.md from them
    python -m benchmarks.capacity rank                  # prints the ranking

The `measure_*.py` modules run a scenario at several sizes and return measurements. The `rows_*.py` modules
compute rows from these measurements without running anything. `page.py` renders the rows. To add a row, add a
function to a `rows_*.py` module and call it in the module's `rows` function. List a new module in `SECTIONS`
of `rows.py`.
"""
