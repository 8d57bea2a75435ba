#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Writes what was sent, answered and run to record.txt in this folder.
here=$(CDPATH='' cd "$(dirname "$0")" && pwd) || exit 2
record="$here/record.txt"
echo "run with TROUBLE=${TROUBLE:-1}" > "$record" || exit 2
python="$here/../../.venv/bin/python"
if [ ! -x "$python" ]; then
    echo "the case could not run: the build of the deploy file has not been run" | tee -a "$record"
    exit 2
fi
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$here/.." exec "$python" "$here/case.py" "$record"
