package systrace

import "golang.org/x/sys/unix"

// archNames are the names of system calls that other architectures don't have.
var archNames = map[uint64]string{unix.SYS_EPOLL_WAIT: "epoll_wait", unix.SYS_GETTID: "gettid"}
