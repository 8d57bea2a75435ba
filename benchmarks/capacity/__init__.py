"""What each part of the program costs as a fleet grows, worked out at the size it is designed for.

    python -m benchmarks.capacity measure [GROUP ...]   # runs measurements, keeps them in docs/capacity.json
    python -m benchmarks.capacity page                  # writes the tables of docs/CAPACITY.md from that file
    python -m benchmarks.capacity rank                  # prints the ranking

`measure_*.py` run something at several sizes and return samples; `rows_*.py` turn samples into rows by
arithmetic alone; `page.py` renders rows. A new row is one function in a `rows_*.py` module, listed in
`rows.py`.
"""
