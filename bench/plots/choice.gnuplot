# 99th percentile of each policy in the desk's scenario at 90% load with two stragglers.
set terminal svg size 900,480
set output target
set style data histogram
set style fill solid 0.7
set ylabel "99th and 99.9th percentile, ms"
set logscale y
set xtics rotate by -35
set title "Choice of upstream: desk, 90% load, 2 stragglers of 20, reports 500 ms"
filter = "desk-90-stragglers-2-reports-500ms"
plot "< grep ^".filter." ".data using 3:xtic(2) title "p99", "" using 4 title "p99.9"
