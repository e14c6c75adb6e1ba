# Sourced by the cases' run.sh: starts the case beside it under a limit of 120 seconds.
set -u
command -v python3 > /dev/null || { echo "could not run: no python3"; exit 2; }
here=$(cd "$(dirname "$0")" && pwd)
exec python3 -B "$here/case.py"
