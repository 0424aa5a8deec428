#!/bin/bash
# Plays the deployments of the milestones and prints their scores and hunts. Needs the users' bench:
#   FLEETBENCH=<program> SITES=<folder of the site files> scripts/regress.sh
# Without them it says so and plays nothing.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 1
if [ ! -x "${FLEETBENCH:-}" ] || [ ! -d "${SITES:-}" ]; then
  echo "not played: FLEETBENCH or SITES is not set or not there"
  exit 0
fi
jobs=${JOBS:-4}
why=${WHY:-Regression runs}
status=0
play() { # play <site> <days to hunt>
  "$FLEETBENCH" score "$SITES/$1" --jobs "$jobs" --why "$why" | grep -E '^score|GATE|BROKEN' || status=1
  "$FLEETBENCH" hunt "$SITES/$1" --days "$2" --jobs "$jobs" --why "$why: hunt" | grep -E 'days on|BROKEN'
}
play further/blason-mu.toml 40
play further-grown/blason-mu-grown.toml 8
play large/kfs-accra-large.toml 8
play sites/kfs-accra.toml 40
play sites/ncs-poles.toml 40
play grown/kfs-accra-grown.toml 8
play grown/ncs-poles-grown.toml 8
exit $status
