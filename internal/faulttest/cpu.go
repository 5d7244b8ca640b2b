package faulttest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ticksPerSecond is the unit of CPU times in /proc (USER_HZ), a constant of Linux's interface to programs.
const ticksPerSecond = 100

// Fields of /proc/PID/stat after the program's name, see proc_pid_stat(5).
const (
	statUserTicks   = 11
	statSystemTicks = 12
)

// CPUSeconds returns the user and system time that a process has used, in seconds; 0 if the process does not
// exist.
func CPUSeconds(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The name is in parentheses, and may itself hold spaces and parentheses.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) <= statSystemTicks {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[statUserTicks], 64)
	system, _ := strconv.ParseFloat(fields[statSystemTicks], 64)
	return (user + system) / ticksPerSecond
}
