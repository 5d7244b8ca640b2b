// Package unixio has helpers for system calls on nonblocking sockets.
package unixio

import (
	"errors"

	"golang.org/x/sys/unix"
)

// RetryInterrupted repeats a system call until no signal interrupts it.
func RetryInterrupted(call func() (int, error)) (n int, err error) {
	for {
		if n, err = call(); !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}
