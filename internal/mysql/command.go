package mysql

import (
	"fmt"
	"time"

	"beechcart/internal/exchange"
)

// servePacket reads and answers one packet. The caller must end the session if servePacket returns false.
func (s *session) servePacket() bool {
	r := s.conn.Reader()
	header, err := r.Next(headerSize)
	if err != nil {
		return false
	}
	size := packetSize(header)
	s.sequence = header[3] + 1
	// netpoll buffers all input of a client in memory, and a client may send valid packets faster than they are served.
	if r.Len() > maxInputBytes {
		s.server.options.Counters.Add("sessions_flooded", 1)
		return false
	}
	if size > maxPacketBytes || size == 0 {
		s.server.countMalformed(s, fmt.Sprintf("packet of %d bytes", size))
		return s.failAndDrain(errPacketTooLarge, "packet size is out of bounds")
	}
	payload, err := r.Next(size)
	if err != nil {
		return false
	}
	ok := s.serve(payload)
	_ = r.Release()
	return ok
}

// serve answers a login or a command. The caller must end the session if serve returns false.
func (s *session) serve(payload []byte) bool {
	if !s.loggedIn {
		return s.login(payload)
	}
	s.sentCommand = true
	switch payload[0] {
	case comQuit:
		return false
	case comPing:
		return s.ok()
	case comInitDB:
		if string(payload[1:]) != database {
			return s.fail(errUnknownDatabase, "Unknown database")
		}
		return s.ok()
	case comQuery:
		return s.query(payload[1:])
	}
	s.server.countMalformed(s, fmt.Sprintf("command %d", payload[0]))
	return s.fail(errUnknownCommand, "Unknown command")
}

func (s *session) login(payload []byte) bool {
	l, err := parseLogin(payload)
	if err != nil {
		s.server.countMalformed(s, err.Error())
		return s.failAndDrain(errBadHandshake, "Bad handshake")
	}
	if string(l.user) != user || len(l.auth) > 0 {
		s.server.countMalformed(s, "login denied")
		return s.failAndDrain(errAccessDenied, "Access denied")
	}
	if len(l.database) > 0 && string(l.database) != database {
		return s.failAndDrain(errUnknownDatabase, "Unknown database")
	}
	s.loggedIn = true
	return s.ok()
}

// query serves one COM_QUERY and returns after writing the answer. Only the goroutine of this session is blocked
// meanwhile. The caller must end the session if query returns false.
func (s *session) query(q []byte) bool {
	arrived := time.Now()
	if id, ok := parseKillQuery(q); ok {
		if !s.server.killQuery(id) {
			return s.fail(errUnknownThread, "Unknown thread id")
		}
		return s.ok()
	}
	request, err := parseQuery(q, s.server.options.Names)
	if err != nil {
		s.server.countMalformed(s, err.Error())
		return s.fail(errMalformedQuery, err.Error())
	}
	x := exchange.New(request, arrived)
	x.Client = s
	s.enter(serving)
	switch ok, killed := s.openRequest(x); {
	case !ok:
		s.server.options.Counters.Add("left_unread", 1)
		return false
	case killed:
		return s.answer(exchange.Answer{Kind: exchange.ClientGone})
	}
	s.server.handler.Accept(x)
	<-x.Done()
	s.closeRequest()
	return s.answer(x.Answer())
}
