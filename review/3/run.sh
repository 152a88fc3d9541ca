#!/usr/bin/env bash
# Exit code: 0 the rule held, 1 it was broken, 2 the case couldn't run. TROUBLE=0 plays the
# same without the disruption. Needs the deploy file's build and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/bergamotstall target/review-standin; do
  if [ ! -x "$program" ]; then
    echo "$program is missing" >&2
    exit 2
  fi
done
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=false
fi
exec target/review-standin drain -program target/bergamotstall -record review/3/record.txt -trouble="$trouble"
