//go:build lean

package consul

import (
	"errors"

	"beechcart/internal/http1"
)

// canTLS reports whether this build supports TLS.
const canTLS = false

var errNoTLS = errors.New("this build has no TLS (tag lean)")

func (o *Options) secure(address) (http1.Secure, error) {
	return nil, errNoTLS
}
