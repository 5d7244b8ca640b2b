// Package fleet is what front ends have in common: who is alive, and the replicated control log of decision/rollout.
//
// Three or five of the front ends are control replicas: each keeps the log in a [ControlReplica], on hashicorp/raft
// with its bbolt store. Every front end is a [Member]: it reports its phase to any replica, watches there what
// concerns it, and carries out what the state machine has decided. Who is alive is told by hashicorp/memberlist; the
// leader adds suspicions to the log and never withdraws one: only a newer report of the member does.
//
// # What holds when parts fail
//
//   - No query waits for the fleet. A member that reaches no replica serves on, shuts down for nobody, and goes on
//     excluding the engines whose drains it knows.
//   - Drains are never undone by a replica that is behind: whatever tells of them carries how far its log is.
//   - A replica that has lost its log comes back under a new identity. Calls between replicas name the identity that
//     they are meant for, so that it can't vote with a past that it has lost; the leader replaces the old identity.
//   - A replica whose disk fails stops writing at the first failure and is closed; decision/diskrecovery decides when
//     and as what it comes back. Its front end serves on.
//
// All ports share one key and have no encryption but memberlist's: the package is for networks that are the operators'
// own.
//
// # Where to read on
//
// member.go starts a member, member_loops.go has its goroutines. replica.go opens a control replica, replica_raft.go
// joins it to the log, leader.go has what the leader does by itself, replica_recovery.go what follows a failed disk.
// http_server.go and http_client.go are the replicas' HTTP interface, raft_stream.go and gossip.go the two other ports.
// A [Transport] counts and cuts traffic in tests at fleet size.
package fleet
