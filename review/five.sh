#!/bin/sh
# Runs each case five times with its disruption and five times without it (TROUBLE=0); prints the exit statuses.
cd "$(dirname "$0")/.." || exit 2
for case in ${*:-1 2 3}; do
    printf 'case %s:' "$case"
    for i in 1 2 3 4 5; do
        "review/$case/run.sh" > /dev/null
        printf ' %s' $?
    done
    cp "review/$case/record.txt" "target/review/record-$case.txt"
    printf '; TROUBLE=0:'
    for i in 1 2 3 4 5; do
        TROUBLE=0 "review/$case/run.sh" > /dev/null
        printf ' %s' $?
    done
    echo
    cp "target/review/record-$case.txt" "review/$case/record.txt" # the last run with the disruption
done
