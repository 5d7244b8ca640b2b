//go:build lean

package consul

import (
	"errors"

	"beechcart/internal/http1"
)

// canTLS tells whether https can be used.
const canTLS = false

func (o *Options) secure(address) (http1.Secure, error) {
	return nil, errors.New("this build has no TLS (tag lean)")
}
