package mysql

import (
	"bytes"
	"time"

	"beechcart/internal/exchange"
)

// pipelineGrace is how long after its deadline a request may still wait for the answer to a request before it. Answers
// are written in the order of the requests.
const pipelineGrace = 200 * time.Millisecond

// answerTime returns the time by which the answers before a command must be written, so that the command can be
// answered in time. It is zero for a command that is not a query with a timeout.
func answerTime(c command) time.Time {
	if len(c.payload) == 0 || c.payload[0] != comQuery {
		return time.Time{}
	}
	fields, _, err := splitComment(c.payload[1:])
	if err != nil {
		return time.Time{}
	}
	for len(fields) > 0 {
		var field []byte
		field, fields, _ = bytes.Cut(fields, []byte(","))
		name, value, _ := bytes.Cut(bytes.TrimSpace(field), []byte("="))
		if string(name) != fieldTimeout {
			continue
		}
		if ms, ok := parseNumber(value, maxTimeoutMs); ok {
			return c.arrived.Add(milliseconds(ms) + pipelineGrace)
		}
		break
	}
	return time.Time{}
}

// holdsUpAnswer reports whether a command that waits should have been answered by now; the caller holds the server's
// lock.
func (s *session) holdsUpAnswer(now time.Time) bool {
	for i := s.served; i < len(s.inbox); i++ {
		if at := s.inbox[i].answerBy; !at.IsZero() && now.After(at) {
			return true
		}
	}
	return false
}

// cancelHoldUps cancels each open request that holds up the answer to another request of its session.
func (s *Server) cancelHoldUps(now time.Time) {
	var holdUps []*exchange.Exchange
	s.mu.Lock()
	for ses := s.sessions.byPhase[serving].head; ses != nil; ses = ses.next {
		if ses.openExchange != nil && ses.holdsUpAnswer(now) {
			holdUps = append(holdUps, ses.openExchange)
		}
	}
	s.mu.Unlock()
	for _, x := range holdUps {
		s.options.Counters.Add("pipeline_cancelled", 1)
		s.handler.ClientGone(x)
	}
}
