// Package bench measures the cost of the front end as a process, counted from outside the process. Counts, and ratios
// within one run, may be compared with those of other runs. Times may not: they are stated with machine and spread.
//
// path.go counts the cost of one request, and baseline.go compares the counts with a recorded baseline; speed.go,
// idle.go and list.go measure CPU time, idle sessions and long engine lists. testbed.go starts a front end with fake
// servers; client.go makes the requests of a scenario.
package bench
