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

// logStore is what the log is kept in. The first write that fails is the last: from then on all fail, and whoever keeps the log is told, and
// closes it. It is safe for concurrent use.
type logStore struct {
	*raftboltdb.BoltStore
	faultFile string // a file that names a fault, for drills; empty: none

	mu      sync.Mutex
	failure error
	failed  chan struct{}
}

// currentTerm is the one write that the library takes no failure of: it panics, and the front end would end, which serves on.
const currentTerm = "CurrentTerm"

func openLogStore(dir, faults string) (*logStore, error) {
	s, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(dir, "log.db")})
	if err != nil {
		return nil, err
	}
	return &logStore{BoltStore: s, faultFile: faults, failed: make(chan struct{})}, nil
}

// write makes one write, unless one has failed before.
func (d *logStore) write(f func() error) error {
	d.mu.Lock()
	why := d.failure
	d.mu.Unlock()
	if why != nil {
		return why
	}
	err := withInjectedFault(d.faultFile, f)
	if err == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failure == nil {
		d.failure = err
		close(d.failed)
	}
	return err
}

// reason is the failure; nil where there was none.
func (d *logStore) reason() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failure
}

// withInjectedFault carries a write out, with the fault that a drill asks for: the file holds "full", "sync" or "slow".
func withInjectedFault(faults string, f func() error) error {
	if faults == "" {
		return f()
	}
	word, _ := os.ReadFile(faults)
	switch strings.TrimSpace(string(word)) {
	case "full":
		return &os.PathError{Op: "write", Path: faults, Err: syscall.ENOSPC}
	case "sync":
		if err := f(); err != nil {
			return err
		}
		return &os.PathError{Op: "sync", Path: faults, Err: syscall.EIO}
	case "slow":
		time.Sleep(500 * time.Millisecond)
	}
	return f()
}

// DiskError tells that a log can't be kept as its disk takes no write.
type DiskError struct{ Err error }

func (e *DiskError) Error() string { return "the log can't be written: " + e.Err.Error() }
func (e *DiskError) Unwrap() error { return e.Err }

// classifyFailure is what a failure says of the disk. Only want of room proves that what is there holds.
func classifyFailure(err error) diskrecovery.Failure {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return diskrecovery.NoSpace
	}
	return diskrecovery.DurabilityUnknown
}

// StoreLog implements raft.LogStore.
func (d *logStore) StoreLog(l *raft.Log) error {
	return d.write(func() error { return d.BoltStore.StoreLog(l) })
}

// StoreLogs implements raft.LogStore.
func (d *logStore) StoreLogs(l []*raft.Log) error {
	return d.write(func() error { return d.BoltStore.StoreLogs(l) })
}

// DeleteRange implements raft.LogStore.
func (d *logStore) DeleteRange(low, high uint64) error {
	return d.write(func() error { return d.BoltStore.DeleteRange(low, high) })
}

// Set implements raft.StableStore.
func (d *logStore) Set(key, value []byte) error {
	return d.write(func() error { return d.BoltStore.Set(key, value) })
}

// SetUint64 implements raft.StableStore. Guards against the end of the front end on a full disk: where the term can't be written the
// goroutine that writes it ends in place of a panic: the library's own, or the one that OpenKeeper starts it in. It has promised nothing under
// that term yet, and whoever keeps the log closes it now.
func (d *logStore) SetUint64(key []byte, value uint64) error {
	err := d.write(func() error { return d.BoltStore.SetUint64(key, value) })
	if err != nil && string(key) == currentTerm {
		runtime.Goexit()
	}
	return err
}

// The durabilityMark of a doubt outlives the process, where it can be written at all.
const durabilityMark = "doubtful"

func isMarked(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, durabilityMark))
	return err == nil
}

func setMark(dir string, why error) error {
	if err := os.WriteFile(filepath.Join(dir, durabilityMark), []byte(why.Error()+"\n"), 0o600); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// setAside moves a disk that is in doubt out of the way; the one that was set aside before goes.
func setAside(dir string) error {
	old := dir + ".aside"
	if err := os.RemoveAll(old); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if err := os.Rename(dir, old); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}
