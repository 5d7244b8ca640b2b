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

// logStore stores the log on disk. After the first failed write, every further write fails without reaching the disk,
// and failed is closed. It is safe for concurrent use.
type logStore struct {
	*raftboltdb.BoltStore
	faultFile string        // names the fault to inject, for fault tests; empty: none
	failed    chan struct{} // closed at the first failure

	mu      sync.Mutex
	failure error // guarded by mu; of the first failed write
}

func openLogStore(directory, faultFile string) (*logStore, error) {
	store, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(directory, "log.db")})
	if err != nil {
		return nil, err
	}
	return &logStore{BoltStore: store, faultFile: faultFile, failed: make(chan struct{})}, nil
}

// write performs one write. After an earlier failure it returns that failure without writing.
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

// firstFailure returns the error of the first failed write, or nil if no write has failed.
func (s *logStore) firstFailure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure
}

// slowWriteDelay is added to each write under the fault "slow".
const slowWriteDelay = 500 * time.Millisecond

// withInjectedFault performs a write under the fault that a file names: "full" fails without writing, "sync" fails
// after the write, "slow" delays the write.
func withInjectedFault(faultFile string, write func() error) error {
	if faultFile == "" {
		return write()
	}
	fault, _ := os.ReadFile(faultFile) // a missing file means no fault
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

// DiskError is returned when a log can't be opened because a write to its disk fails.
type DiskError struct{ Err error }

func (e *DiskError) Error() string { return "control log: write failed: " + e.Err.Error() }

// Unwrap returns the failure of the disk.
func (e *DiskError) Unwrap() error { return e.Err }

// classifyFailure classifies a failed write by its effect on durability. Only a lack of space proves that the log's
// content is valid.
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

// currentTermKey is the key under which the raft library stores its current term.
const currentTermKey = "CurrentTerm"

// SetUint64 implements raft.StableStore. If the term can't be written, the library panics, which would end the front
// end. SetUint64 therefore ends the calling goroutine instead of returning the error: a goroutine of the library, or
// the one in which OpenReplica starts the library. That is safe: the library has not voted or answered under the new
// term yet, and the replica is closed because of the failed write.
func (s *logStore) SetUint64(key []byte, value uint64) error {
	err := s.write(func() error { return s.BoltStore.SetUint64(key, value) })
	if err != nil && string(key) == currentTermKey {
		runtime.Goexit()
	}
	return err
}

// durabilityMarkFile is the name of a file in the log's directory. The file tells the next process that the
// durability of the log is unknown.
const durabilityMarkFile = "doubtful"

func hasDurabilityMark(directory string) bool {
	_, err := os.Stat(filepath.Join(directory, durabilityMarkFile))
	return err == nil
}

func writeDurabilityMark(directory string, failure error) error {
	if err := os.WriteFile(filepath.Join(directory, durabilityMarkFile), []byte(failure.Error()+"\n"), 0o600); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// setAside appends ".aside" to the name of the log's directory, after deleting a directory that was set aside earlier.
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
