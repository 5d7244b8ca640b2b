package fleet

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/google/renameio/v2"
)

// identityFile holds a replica's identity, in the directory of its log.
const identityFile = "identity"

// replicaIdentity returns the identity of the log in a directory, and writes a random one into an empty directory. A
// replica that has lost its log thus gets a new identity, and can't vote on behalf of the old one, whose votes and
// entries it has lost.
func replicaIdentity(directory, name string) (string, error) {
	path := filepath.Join(directory, identityFile)
	text, err := os.ReadFile(path)
	if err == nil {
		return strings.TrimSpace(string(text)), nil
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return "", fmt.Errorf("fleet: %w", err)
	}
	if left, _ := os.ReadDir(directory); len(left) > 0 {
		return "", fmt.Errorf("fleet: %s holds files and no identity: empty it to get a new identity", directory)
	}
	random := make([]byte, 6)
	_, _ = rand.Read(random) // never returns an error
	identity := name + "." + hex.EncodeToString(random)
	if err := renameio.WriteFile(path, []byte(identity+"\n"), 0o600); err != nil {
		return "", fmt.Errorf("fleet: %w", err)
	}
	return identity, nil
}

// isIdentityOf reports whether an identity is a present or an earlier one of the replica of that name.
func isIdentityOf(identity, name string) bool { return strings.HasPrefix(identity, name+".") }

// nextIncarnation returns the incarnation of this process: the clock in nanoseconds, or the last process's incarnation
// plus 1 if that is higher. A file beside the log's directory stores the last incarnation. Without the file, every
// report of a process that starts after the clock was set back would count as stale.
func nextIncarnation(logDirectory string, clock time.Time) (uint64, error) {
	incarnation := uint64(clock.UnixNano())
	if logDirectory == "" {
		return incarnation, nil
	}
	path := filepath.Join(filepath.Dir(logDirectory), filepath.Base(logDirectory)+".process")
	if text, err := os.ReadFile(path); err == nil {
		last, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
		if err == nil && last >= incarnation {
			incarnation = last + 1
		}
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return 0, fmt.Errorf("fleet: %w", err)
	}
	if err := renameio.WriteFile(path, []byte(strconv.FormatUint(incarnation, 10)+"\n"), 0o600); err != nil {
		return 0, fmt.Errorf("fleet: %w", err)
	}
	return incarnation, nil
}
