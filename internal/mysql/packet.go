package mysql

import "encoding/binary"

// headerSize is the size of a packet's header in bytes: three bytes of payload size and one of sequence number.
const headerSize = 4

// packetSize returns the size of a packet's payload in bytes, as its header states.
func packetSize(header []byte) int { return int(header[0]) | int(header[1])<<8 | int(header[2])<<16 }

// appendPacket appends a header and the payload that build appends, and increments sequence.
func appendPacket(b []byte, sequence *byte, build func([]byte) []byte) []byte {
	at := len(b)
	b = appendHeader(b, sequence)
	b = build(b)
	setPacketSize(b, at)
	return b
}

// appendHeader appends a header with a size of zero, which the caller sets with setPacketSize after the payload.
func appendHeader(b []byte, sequence *byte) []byte {
	b = append(b, 0, 0, 0, *sequence)
	*sequence++
	return b
}

// setPacketSize sets the size in the header at offset at. The packet's payload must extend to the end of b.
func setPacketSize(b []byte, at int) {
	n := len(b) - at - headerSize
	b[at], b[at+1], b[at+2] = byte(n), byte(n>>8), byte(n>>16)
}

// maxLengthBytes is the maximum size of a length-encoded integer.
const maxLengthBytes = 9

// appendLength appends a length-encoded integer.
func appendLength(b []byte, n int) []byte {
	switch {
	case n < 251:
		return append(b, byte(n))
	case n < 1<<16:
		return append(b, 0xfc, byte(n), byte(n>>8))
	case n < 1<<24:
		return append(b, 0xfd, byte(n), byte(n>>8), byte(n>>16))
	}
	return binary.LittleEndian.AppendUint64(append(b, 0xfe), uint64(n))
}

// lengthSize returns the size in bytes of n as a length-encoded integer.
func lengthSize(n int) int {
	switch {
	case n < 251:
		return 1
	case n < 1<<16:
		return 3
	case n < 1<<24:
		return 4
	}
	return 9
}

// appendString appends a length-encoded string.
func appendString(b []byte, s string) []byte { return append(appendLength(b, len(s)), s...) }

func appendOK(b []byte, sequence *byte) []byte {
	return appendPacket(b, sequence, func(b []byte) []byte {
		return append(b, okMarker, 0, 0, statusAutocommit, 0, 0, 0)
	})
}

func appendEOF(b []byte, sequence *byte) []byte {
	return appendPacket(b, sequence, func(b []byte) []byte {
		return append(b, eofMarker, 0, 0, statusAutocommit, 0)
	})
}

func appendError(b []byte, sequence *byte, code errorCode, message string) []byte {
	return appendPacket(b, sequence, func(b []byte) []byte {
		b = append(b, errMarker, byte(code.number), byte(code.number>>8), '#')
		return append(append(b, code.state...), message...)
	})
}
