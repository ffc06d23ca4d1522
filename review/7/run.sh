#!/bin/sh
# Three deployments side by side, as one attempt succeeds only if some calls fall into the moment between two cuts.
cd "$(dirname "$0")" || exit 2
for number in 1 2 3; do
    RECORD="record-$number.txt" python3 case.py >"out-$number.txt" 2>&1 &
    eval "process$number=$!"
done
broken=0
held=0
for number in 1 2 3; do
    eval "wait \"\$process$number\""
    case $? in
    0) held=1 ;;
    1) broken=1 ;;
    esac
    cat "out-$number.txt"
done
for number in 1 2 3; do
    echo "== deployment $number"
    cat "record-$number.txt"
done >record.txt
rm -f record-?.txt out-?.txt
[ "$broken" = 1 ] && exit 1
[ "$held" = 1 ] && exit 0
exit 2
