package systrace

import "golang.org/x/sys/unix"

// more are calls that only this architecture has.
var more = map[uint64]string{unix.SYS_EPOLL_WAIT: "epoll_wait", unix.SYS_GETTID: "gettid"}
