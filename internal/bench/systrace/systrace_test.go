package systrace

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// echoEnv in the environment makes the test binary the traced program, which echoes lines with one write each.
const echoEnv = "SYSTRACE_ECHO"

func TestMain(m *testing.M) {
	if os.Getenv(echoEnv) != "" {
		in := bufio.NewReader(os.Stdin)
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				os.Exit(0)
			}
			_, _ = os.Stdout.WriteString(line)
		}
	}
	os.Exit(m.Run())
}

func TestCountsEachCall(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), echoEnv+"=1")
	in, err := cmd.StdinPipe()
	require.NoError(t, err)
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	replies := bufio.NewReader(out)
	echo := func(n int) {
		for range n {
			_, err := io.WriteString(in, "hello\n")
			require.NoError(t, err)
			_, err = replies.ReadString('\n')
			require.NoError(t, err)
		}
	}
	echo(3)
	c, err := Attach(cmd.Process.Pid)
	require.NoError(t, err)
	echo(1)
	before := c.Counts()
	echo(200)
	after := c.Counts()
	assert.EqualValues(t, 200, after["write"]-before["write"])
	assert.InDelta(t, 200, after["read"]-before["read"], 1)
	require.NoError(t, c.Detach())
	echo(50)
	assert.Equal(t, after["write"], c.Counts()["write"], "calls after Detach are not counted")
	require.NoError(t, in.Close())
	require.NoError(t, cmd.Wait())

	_, err = Attach(cmd.Process.Pid)
	assert.Error(t, err, "attach to a process that has ended")
}
