// Package bench measures the front end as a process: what it costs, counted from outside. Each measurement names its
// machine and its spread; counts and ratios of one run are meant to be compared, times are not.
//
// path.go counts what one request costs, and baseline.go holds the counts; speed.go, idle.go and list.go measure CPU
// time, idle sessions and long engine lists. testbed.go starts a front end with fake servers.
package bench
