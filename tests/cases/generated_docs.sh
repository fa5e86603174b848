# Guards against pages that no longer say what the program does: those made from
# its tables must be as the program prints them.
. tests/lib.sh
"$BUILD/chervilholdd" --settings-reference | diff - docs/SETTINGS.md &&
    note "docs/SETTINGS.md is up to date"
"$BUILD/chervilholdd" --charts | diff - docs/CHARTS.md &&
    note "docs/CHARTS.md is up to date"
