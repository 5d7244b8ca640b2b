package fleet

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"beechcart/decision/diskrecovery"
)

// logStore is what the log is stored in. The first write that fails is the last: from then on all fail, and failed is
// closed. It is safe for concurrent use.
type logStore struct {
	*raftboltdb.BoltStore
	faultFile string        // names the fault to inject, for fault tests; empty: none
	failed    chan struct{} // closed at the first failure

	mu      sync.Mutex
	failure error // guarded by mu; the first one
}

func openLogStore(directory, faultFile string) (*logStore, error) {
	store, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(directory, "log.db")})
	if err != nil {
		return nil, err
	}
	return &logStore{BoltStore: store, faultFile: faultFile, failed: make(chan struct{})}, nil
}

// write makes one write, unless one has failed before.
func (s *logStore) write(write func() error) error {
	if err := s.firstFailure(); err != nil {
		return err
	}
	err := withInjectedFault(s.faultFile, write)
	if err == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure == nil {
		s.failure = err
		close(s.failed)
	}
	return err
}

// firstFailure is the first failure; nil where there was none.
func (s *logStore) firstFailure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure
}

// slowWriteDelay is how much longer a write takes under the fault "slow".
const slowWriteDelay = 500 * time.Millisecond

// withInjectedFault makes a write with the fault that a file names: "full", "sync" or "slow".
func withInjectedFault(faultFile string, write func() error) error {
	if faultFile == "" {
		return write()
	}
	fault, _ := os.ReadFile(faultFile) // where there is none, neither is a fault
	switch strings.TrimSpace(string(fault)) {
	case "full":
		return &os.PathError{Op: "write", Path: faultFile, Err: syscall.ENOSPC}
	case "sync":
		if err := write(); err != nil {
			return err
		}
		return &os.PathError{Op: "sync", Path: faultFile, Err: syscall.EIO}
	case "slow":
		time.Sleep(slowWriteDelay)
	}
	return write()
}

// DiskError tells that a log can't be opened because its disk takes no write.
type DiskError struct{ Err error }

func (e *DiskError) Error() string { return "the log can't be written: " + e.Err.Error() }

// Unwrap returns the failure of the disk.
func (e *DiskError) Unwrap() error { return e.Err }

// classifyFailure tells what a failure says of the disk. Only want of space proves that what the log holds is valid.
func classifyFailure(err error) diskrecovery.Failure {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return diskrecovery.NoSpace
	}
	return diskrecovery.DurabilityUnknown
}

// StoreLog implements raft.LogStore.
func (s *logStore) StoreLog(entry *raft.Log) error {
	return s.write(func() error { return s.BoltStore.StoreLog(entry) })
}

// StoreLogs implements raft.LogStore.
func (s *logStore) StoreLogs(entries []*raft.Log) error {
	return s.write(func() error { return s.BoltStore.StoreLogs(entries) })
}

// DeleteRange implements raft.LogStore.
func (s *logStore) DeleteRange(low, high uint64) error {
	return s.write(func() error { return s.BoltStore.DeleteRange(low, high) })
}

// Set implements raft.StableStore.
func (s *logStore) Set(key, value []byte) error {
	return s.write(func() error { return s.BoltStore.Set(key, value) })
}

// currentTermKey is the key of the raft library's term.
const currentTermKey = "CurrentTerm"

// SetUint64 implements raft.StableStore. Where the term can't be written the library panics, which would end the front
// end; the goroutine that writes it ends in place of that: the library's own, or the one that OpenReplica starts it in.
// The library has promised nothing under that term yet, and the replica is closed now.
func (s *logStore) SetUint64(key []byte, value uint64) error {
	err := s.write(func() error { return s.BoltStore.SetUint64(key, value) })
	if err != nil && string(key) == currentTermKey {
		runtime.Goexit()
	}
	return err
}

// durabilityMark is a file in the log's directory that tells the next process of unknown durability.
const durabilityMark = "doubtful"

func hasDurabilityMark(directory string) bool {
	_, err := os.Stat(filepath.Join(directory, durabilityMark))
	return err == nil
}

func writeDurabilityMark(directory string, failure error) error {
	if err := os.WriteFile(filepath.Join(directory, durabilityMark), []byte(failure.Error()+"\n"), 0o600); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// setAside renames the log's directory, in place of the one that was set aside before.
func setAside(directory string) error {
	aside := directory + ".aside"
	if err := os.RemoveAll(aside); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if err := os.Rename(directory, aside); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}
