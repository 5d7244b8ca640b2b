package execution

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// With three replicas all other members must be read, with five replicas all but one. A member that may hold no
// replicas is not expected.
func TestBootstrapWaitsForEnoughMembers(t *testing.T) {
	b := NewBootstrap(3, "n0", fleetOf(4))
	b.MarkRead("n1")
	b.MarkRead("n2")
	assert.Equal(t, []string{"n3"}, b.Missing(), "with three replicas, only n3 may hold an outcome")
	b.MarkRead("n9")
	b.MarkRead("n3")
	assert.Empty(t, b.Missing())

	b = NewBootstrap(5, "n0", fleetOf(6))
	for i := 1; i < 4; i++ {
		b.MarkRead(fmt.Sprint("n", i))
	}
	assert.Len(t, b.Missing(), 2)
	b.MarkRead("n4")
	assert.Empty(t, b.Missing(), "with five replicas one member may be left out")
}
