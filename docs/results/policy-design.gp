# Run: gnuplot design.gp
$runs << END
0 "random" 5.506 5.364 5.609 15383.098 15322.370 15424.966 0.000 0.000 0.000 0.000 0.000 0.000
1 "first fit" 6.301 6.119 6.423 15272.543 15205.327 15319.491 0.000 0.000 0.000 0.000 0.000 0.000
2 "least loaded" 5.170 5.027 5.229 15377.626 15304.373 15422.279 0.000 0.000 0.000 0.000 0.000 0.000
3 "two choices" 5.202 5.098 5.312 15395.878 15335.446 15435.851 0.000 0.000 0.000 0.000 0.000 0.000
4 "endivedoor" 2.370 2.324 2.434 15231.226 15176.064 15266.444 0.000 0.000 0.000 0.000 0.000 0.000
5 "no hysteresis" 2.581 2.444 2.685 15246.473 15190.669 15280.970 76.000 28.000 124.000 0.000 0.000 0.000
6 "no throttle" 2.496 2.421 2.554 15251.005 15191.408 15280.578 176.500 81.000 243.000 0.000 0.000 0.000
7 "no guard" 2.693 2.476 2.821 15256.580 15196.935 15291.309 0.000 0.000 0.000 0.000 0.000 0.000
8 "no interference cost" 2.502 2.489 2.516 15239.609 15151.659 15276.860 0.000 0.000 1.000 0.000 0.000 0.000
9 "no holding back" 2.381 2.319 2.442 15220.376 15165.467 15253.587 0.000 0.000 0.000 0.000 0.000 0.000
10 "no gathering" 2.737 2.724 2.753 14561.255 14514.848 14612.875 1.000 0.000 4.000 0.000 0.000 0.000
11 "no attribution" 2.365 2.324 2.464 15229.861 15171.356 15262.777 0.000 0.000 1.000 0.000 0.000 0.000
12 "declared sizes" 2.359 2.165 2.387 15230.475 15177.415 15270.078 0.000 0.000 0.000 0.000 0.000 0.000
END
set terminal svg size 1000,800
set output 'design.svg'
set style fill solid 0.4
set boxwidth 0.7
set xtics rotate by -50
set yrange [0:*]
unset key
set multiplot layout 2,2 title 'design: median, least and largest of 10 seeds'
set title 'service p95 / undisturbed'
plot $runs using 1:3:xtic(2) with boxes, $runs using 1:3:4:5 with yerrorbars pt 0 lc 'black'
set title 'batch work s/s'
plot $runs using 1:6:xtic(2) with boxes, $runs using 1:6:7:8 with yerrorbars pt 0 lc 'black'
set title 'evictions'
plot $runs using 1:9:xtic(2) with boxes, $runs using 1:9:10:11 with yerrorbars pt 0 lc 'black'
set title 'work while a zone leaves and returns, s'
plot $runs using 1:12:xtic(2) with boxes, $runs using 1:12:13:14 with yerrorbars pt 0 lc 'black'
unset multiplot
