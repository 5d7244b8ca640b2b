// Package cluster runs many front end processes on one machine, on loopback addresses. All traffic between the
// processes passes relays that can cut, delay, drop, duplicate and reset it. The package observes processes and sockets
// only.
//
// cluster.go assigns addresses and roles to the members, settings.go has the settings of each process, member.go starts
// and stops processes as a service manager does, observation.go records starts, ends and pauses of processes, and
// link.go and relay.go carry the traffic between processes.
package cluster
