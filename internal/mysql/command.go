package mysql

import (
	"bytes"
	"fmt"
	"time"

	"beechcart/internal/copycount"
	"beechcart/internal/exchange"
)

// servePacket answers one packet. The caller must end the session if servePacket returns false.
func (s *session) servePacket(c command) bool {
	s.sequence = c.sequence
	switch {
	case c.fatal != nil:
		s.server.countMalformed(s, c.fatal.reason)
		return s.failAndDrain(c.fatal.code, c.fatal.message)
	case c.refused > 0:
		return s.refuse()
	case s.loggedIn && c.payload[0] == comQuery:
		s.noteCommand()
		return s.query(c)
	}
	defer s.server.free(c)
	return s.command(c.payload)
}

// refuse answers a packet for which there was no memory, or that was sent behind too many others. It has not run.
func (s *session) refuse() bool {
	s.server.countRefused(s)
	if !s.loggedIn {
		return s.failAndDrain(errTooManyConnections, "Too many connections")
	}
	s.noteCommand()
	return s.answer(exchange.Answer{
		Kind: exchange.Rejected, Reason: "too many or too large requests at once", RetryAfter: refusalRetryAfter,
	})
}

// noteCommand records that the session has sent a command.
func (s *session) noteCommand() {
	s.server.mu.Lock()
	s.sentCommand = true
	s.server.mu.Unlock()
}

// command answers a login or a command other than a query. The caller must end the session if command returns false.
func (s *session) command(payload []byte) bool {
	if !s.loggedIn {
		return s.login(payload)
	}
	s.noteCommand()
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
func (s *session) query(c command) bool {
	q := c.payload[1:]
	if id, ok := parseKillQuery(q); ok {
		defer s.server.free(c)
		if !s.server.killQuery(id) {
			return s.fail(errUnknownThread, "Unknown thread id")
		}
		return s.ok()
	}
	request, err := parseQuery(q, s.server.options.Names)
	if err != nil {
		defer s.server.free(c)
		s.server.countMalformed(s, err.Error())
		return s.fail(errMalformedQuery, err.Error())
	}
	x := s.newExchange(request, c)
	defer x.Release()
	return s.serveRequest(x)
}

// newExchange returns the exchange of a command. The memory of a large command is freed with the exchange, that of a
// small one now.
func (s *session) newExchange(request exchange.Request, c command) *exchange.Exchange {
	if c.small != nil {
		request.Statement = bytes.Clone(request.Statement)
		copycount.Add(copycount.Statement, len(request.Statement))
		c.payload = nil
		smallPayloads.Put(c.small)
	}
	x := exchange.New(request, c.arrived)
	x.Client = s
	x.HoldRequest(s.server.options.Input, c.reserved)
	return x
}

// isHoldUp reports whether a request that has not been opened holds up the answer to another one.
func (s *session) isHoldUp() bool {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	return s.holdsUpAnswer(time.Now())
}

// serveRequest hands a request to the handler and writes the answer.
func (s *session) serveRequest(x *exchange.Exchange) bool {
	s.enter(serving)
	if !s.caughtUp() {
		return s.refuse()
	}
	if s.isHoldUp() {
		return s.answer(exchange.Answer{Kind: exchange.Rejected, Reason: "no time is left for a request sent behind"})
	}
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
