package mysql

import (
	"bytes"
	"encoding/binary"
	"errors"
)

const (
	protocolVersion = 10
	serverVersion   = "8.0.0-beechcart"

	// The scramble may be the same for all sessions, since the password is empty and needs no protection.
	scrambleStart = "beechcar"
	scrambleRest  = "tbeechcartbe"
	scrambleSize  = len(scrambleStart) + len(scrambleRest) + 1 // includes the final NUL
)

// appendGreeting appends the first packet of a session, a HandshakeV10.
func appendGreeting(b []byte, sessionID uint32) []byte {
	sequence := byte(0)
	return appendPacket(b, &sequence, func(b []byte) []byte {
		b = append(append(append(b, protocolVersion), serverVersion...), 0)
		b = binary.LittleEndian.AppendUint32(b, sessionID)
		b = append(b, scrambleStart...)
		b = append(b, 0, byte(capabilities&0xff), byte(capabilities>>8&0xff), charset, statusAutocommit, 0)
		b = append(b, byte(capabilities>>16&0xff), byte(capabilities>>24), byte(scrambleSize))
		b = append(b, make([]byte, 10)...) // reserved
		b = append(append(b, scrambleRest...), 0)
		return append(append(b, authPlugin...), 0)
	})
}

var (
	errShortPacket  = errors.New("mysql: login packet is truncated")
	errOldProtocol  = errors.New("mysql: client does not use protocol 4.1, the only protocol served")
	errNoEncryption = errors.New("mysql: client requests encryption, which the server does not support")
)

// loginHeadSize is the size in bytes of the fields before the user name: capabilities, maximum packet size, character
// set and filler.
const loginHeadSize = 32

var nulTerminator = []byte{0}

// login is a parsed HandshakeResponse41.
type login struct {
	capabilities   uint32
	user, database []byte
	auth           []byte
}

// parseLogin parses a HandshakeResponse41. The slices of the result alias p.
func parseLogin(p []byte) (l login, err error) {
	if len(p) < 4 {
		return l, errShortPacket
	}
	if l.capabilities = binary.LittleEndian.Uint32(p); l.capabilities&capProtocol41 == 0 {
		return l, errOldProtocol
	}
	if l.capabilities&capSSL != 0 {
		return l, errNoEncryption
	}
	if len(p) < loginHeadSize {
		return l, errShortPacket
	}
	var ok bool
	if l.user, p, ok = bytes.Cut(p[loginHeadSize:], nulTerminator); !ok {
		return l, errShortPacket
	}
	if l.auth, p, ok = cutAuth(p, l.capabilities); !ok {
		return l, errShortPacket
	}
	if l.capabilities&capConnectWithDB != 0 {
		// Some clients omit the final NUL.
		l.database, _, _ = bytes.Cut(p, nulTerminator)
	}
	return l, nil
}

// cutAuth splits p into the authentication data at its start and the rest. ok is false if the data is truncated.
func cutAuth(p []byte, capabilities uint32) (auth, rest []byte, ok bool) {
	if capabilities&(capPluginAuthData|capSecureConn) == 0 {
		return bytes.Cut(p, nulTerminator)
	}
	if len(p) < 1 || p[0] >= 251 || len(p) < 1+int(p[0]) {
		return nil, nil, false
	}
	return p[1 : 1+int(p[0])], p[1+int(p[0]):], true
}
