// Package fleet coordinates front ends: membership by gossip, and the replicated control log of decision/rollout.
//
// Three or five of the front ends are control replicas (1 and 7 are possible too). Each of them stores the log in a
// [ControlReplica], on hashicorp/raft with its bbolt store. Every front end is a [Member]. A member reports its phase
// to any replica, watches its own view of the state there, and carries out the decisions of the state machine.
// hashicorp/memberlist detects which members are alive. The leader adds suspicions to the log and never withdraws
// one: only a newer status report of the member clears its suspicion.
//
// # Guarantees under failures
//
//   - No query waits for the fleet. A member that reaches no replica keeps serving, does not shut down, and keeps
//     excluding the engines whose drains it knows.
//   - A replica that is behind never undoes a drain: each list of drains carries the number of commands that its
//     replica has applied, and a member ignores a list that is older than its own.
//   - A replica that has lost its log restarts under a new identity. Connections between replicas name the identity
//     that they are meant for, so that a replica can't vote on behalf of the old identity, whose votes and entries it
//     has lost. The leader replaces the old identity.
//   - A replica whose disk fails stops writing at the first failure and is closed. decision/diskrecovery decides when
//     it reopens, and whether with its old log or an empty one. Its front end keeps serving.
//
// All ports share one key. Only gossip is encrypted, by memberlist: run the package only on networks that the
// operators control.
//
// # Reading order
//
// member.go starts a member, member_loops.go has its goroutines. replica.go opens a control replica, replica_raft.go
// connects it to the raft library, leader.go has the leader's periodic commands, replica_recovery.go the recovery
// from a failed disk. http_server.go and http_client.go are the replicas' HTTP interface; raft_stream.go and
// gossip.go serve the two other ports. A [Transport] counts and blocks traffic in tests at fleet size.
package fleet
