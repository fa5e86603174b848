# Guards against promises that break under faults in series: a short run of the
# randomized soak.  Longer ones: sh tests/soak/soak.sh SEED SECONDS.
sh tests/soak/soak.sh 1 8
