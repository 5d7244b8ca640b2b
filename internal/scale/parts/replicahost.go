package parts

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"time"

	"beechcart/decision/rollout"
	"beechcart/internal/fleet"
)

// ReplicaConfig is the configuration of ServeReplica, sent as one line of JSON.
type ReplicaConfig struct {
	Dir    string `json:"dir"`
	Log    string `json:"log"`    // host:port on loopback for the replicated log
	Calls  string `json:"calls"`  // host:port on loopback for the calls of members and operators
	Gossip string `json:"gossip"` // host:port; no process listens there
	Key    string `json:"key"`
}

const (
	replicaName  = "control-1"
	replicaKey   = "0123456789abcdef"
	replicaReady = "ready"
)

// ServeReplica runs a control log of one replica in this process until in ends, without membership and without a
// leader's periodic check. It reads a ReplicaConfig as the first line of in, and writes the line "ready" to out once
// the replica is the leader. It runs in a separate process so that the replica's CPU is measured apart from that of
// its clients.
func ServeReplica(in io.Reader, out io.Writer) error {
	reader := bufio.NewReader(in)
	line, err := reader.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("parts: replica: %w", err)
	}
	var config ReplicaConfig
	if err := json.Unmarshal(line, &config); err != nil {
		return fmt.Errorf("parts: replica: %w", err)
	}
	replica, err := fleet.OpenReplica(&fleet.Options{Name: replicaName, Zone: zoneName(0), Revision: revision,
		GossipAddress: config.Gossip, LogDirectory: config.Dir,
		Key: config.Key, Settings: rollout.Defaults(), Log: slog.New(slog.DiscardHandler),
		ControlReplicas: []fleet.ReplicaAddress{{Name: replicaName, LogAddress: config.Log, APIAddress: config.Calls,
			GossipAddress: config.Gossip}}})
	if err != nil {
		return err
	}
	defer replica.Close()
	if err := replica.Init(); err != nil {
		return fmt.Errorf("parts: replica: %w", err)
	}
	if err := waitForLeadership(replica); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out, replicaReady); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, reader)
	return err
}

// electionTimeout bounds the time in which a log of one replica elects itself leader.
const electionTimeout = 30 * time.Second

func waitForLeadership(replica *fleet.ControlReplica) error {
	for end := time.Now().Add(electionTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if status, err := replica.Status(); err == nil && status.IsLeader {
			return nil
		}
	}
	return errors.New("parts: replica: not elected leader within the election timeout")
}

// replicaProcess is a child process that runs ServeReplica.
type replicaProcess struct {
	config  ReplicaConfig
	command *exec.Cmd
	input   io.WriteCloser
}

// startReplica starts a child process that runs ServeReplica, and returns once its replica is the leader.
func startReplica(ctx context.Context, args []string) (r *replicaProcess, err error) {
	if len(args) == 0 {
		return nil, errors.New("parts: replica: found no command line, Options.ReplicaArgs must name a program")
	}
	r = &replicaProcess{config: ReplicaConfig{Key: replicaKey}}
	if r.config.Dir, err = os.MkdirTemp("", "parts"); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			r.stop()
		}
	}()
	for _, address := range []*string{&r.config.Log, &r.config.Calls, &r.config.Gossip} {
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	r.command = exec.CommandContext(ctx, args[0], args[1:]...)
	r.command.Stderr = os.Stderr
	if r.input, err = r.command.StdinPipe(); err != nil {
		return nil, err
	}
	output, err := r.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := r.command.Start(); err != nil {
		return nil, err
	}
	if err := json.NewEncoder(r.input).Encode(r.config); err != nil {
		return nil, err
	}
	if line, err := bufio.NewReader(output).ReadString('\n'); err != nil || line != replicaReady+"\n" {
		return nil, fmt.Errorf("parts: replica: first output line: found %q, expected %q: %w", line, replicaReady,
			errors.Join(err, io.ErrUnexpectedEOF))
	}
	return r, nil
}

func (r *replicaProcess) pid() int { return r.command.Process.Pid }

// stop closes the process's input, waits for its exit and removes its files.
func (r *replicaProcess) stop() {
	if r.input != nil {
		_ = r.input.Close()
	}
	if r.command != nil && r.command.Process != nil {
		_ = r.command.Wait()
	}
	_ = os.RemoveAll(r.config.Dir)
}

// freeAddress returns a loopback address with a port that was free at the time of the call.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
