// Package cluster runs many front end processes on one machine. Whatever goes between them passes relays that cut,
// delay, drop, duplicate and reset. It sees processes and sockets only; everything is on loopback addresses.
//
// cluster.go lays a cluster out, settings.go has the settings of each process, member.go starts and stops processes
// as a service manager does, observation.go tells what happened to them, link.go and relay.go carry what goes between
// them.
package cluster
