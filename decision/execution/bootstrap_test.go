package execution

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBootstrapWaitsForThoseThatMayKnow(t *testing.T) {
	b := NewBootstrap(3, "n0", fleetOf(4))
	b.MarkRead("n1")
	b.MarkRead("n2")
	assert.Equal(t, []string{"n3"}, b.Missing(), "with three copies, the one that is not read may be the one that knows")
	b.MarkRead("n9")
	b.MarkRead("n3")
	assert.Empty(t, b.Missing())

	b = NewBootstrap(5, "n0", fleetOf(6))
	for i := 1; i < 4; i++ {
		b.MarkRead(fmt.Sprint("n", i))
	}
	assert.Len(t, b.Missing(), 2)
	b.MarkRead("n4")
	assert.Empty(t, b.Missing(), "with five copies one may be missed")
}
