#!/bin/sh
# Plays all days of this folder that belong to one site, and prints one line per day: its name, the
# status of the run, seconds of wall clock, worth, share served, and the rules broken, if any.
# Usage, in the repository: examples/days/run.sh BENCH SITE.toml [JOBS [NAME-PATTERN]]
# The full reports go to target/days/. Ends with status 1 if a day did not play or broke a rule, with 2 if
# there is nothing to play.
set -u
if [ $# -lt 2 ]; then
  sed -n '2,7s/^# //p' "$0" >&2
  exit 2
fi
bench=$1 site=$2 jobs=${3:-2} pattern=${4:-}
days=$(cd "$(dirname "$0")" && pwd)
case $(basename "$site" .toml) in
  niletrick-router) kind=small-nile ;;
  pamoja-fx) kind=small-pamoja ;;
  niletrick-router-grown) kind=grown-nile ;;
  pamoja-fx-grown) kind=grown-pamoja ;;
  niletrick-router-large) kind=large-nile ;;
  pamoja-fx-large) kind=large-pamoja ;;
  *)
    echo "there are no days for $site" >&2
    exit 2
    ;;
esac
out=target/days
mkdir -p "$out"
rm -f "$out"/*"-$kind.line"

# One day: the report to a file, the line to standard output.
play() {
  name=$1 report=$out/$1.txt began=$(date +%s)
  "$bench" run "$site" "$days/$name.toml" --why "own day $name" >"$report" 2>&1
  status=$?
  took=$(($(date +%s) - began))
  figures=$(awk -v n="$name" '$1 == n { print "worth " $4 ", served " $5; exit }' "$report")
  broken=$(sed -n 's/^rules broken: \(.*\)/BROKEN: \1/p' "$report" | head -n 1)
  line="$name: status $status, $took s, ${figures:-no figures}; ${broken:-no rule broken}"
  [ -n "$figures" ] && [ -z "$broken" ] || : >"$out/$name.bad-$kind.line"
  echo "$line"
}

set -- $(cd "$days" && ls ./*"-$kind.toml" | sed 's|^\./||; s|\.toml$||' | grep -e "$pattern")
if [ $# -eq 0 ]; then
  echo "no day of $kind has $pattern in its name" >&2
  exit 2
fi
running=0
for name in "$@"; do
  play "$name" &
  running=$((running + 1))
  if [ "$running" -ge "$jobs" ]; then
    wait
    running=0
  fi
done
wait
set -- "$out"/*.bad-"$kind".line
[ ! -e "$1" ]
