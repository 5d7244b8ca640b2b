package mysql

import (
	"runtime"
	"time"

	"beechcart/internal/exchange"
)

// phase is the state of a session.
type phase int

const (
	greeted phase = iota // no command received yet; the login may be complete
	idle                 // between commands
	reading              // a packet has been partly received, or a command other than a request is being served
	serving              // a request is open
	closing              // the final error has been written
	phaseCount
)

// session is the state of one client connection. One goroutine reads the connection until the session ends. While the
// inbox holds commands, another goroutine serves them and writes the answers.
type session struct {
	server *Server
	id     uint32
	conn   *connection
	input  input
	serve  func() // serveInbox

	// Owned by the goroutine that reads the connection.
	discarded discarded // of the latest read
	drained   int       // bytes discarded since the input has ended
	flooded   bool      // counted as flooded
	reads     allowance // of reads that fill their buffer

	// Owned by the goroutine that serves commands.
	sequence byte // number of the next packet to write
	loggedIn bool
	commands allowance

	// Guarded by the server's lock.
	inbox        []command // commands; the first ones have been served
	served       int       // number of commands of inbox that have been served or are being served
	queuedBytes  int       // size of the commands in inbox
	active       bool      // a goroutine serves commands
	partial      bool      // a packet has been partly received
	ended        bool      // no further command is accepted
	draining     bool      // the final error has been written, and input is discarded
	sentCommand  bool
	openExchange *exchange.Exchange // the request being served
	answering    bool               // the answer to the latest request is being written
	killed       bool               // KILL QUERY was processed before the query to cancel was read
	foundIdle    bool               // the last check of Shutdown found the session idle, and it was not used since
	phase        phase
	phaseSince   time.Time // start of the phase; while greeted, the time of the connect
	registered   bool      // requests are accepted; set to false before the connection is closed
	prev, next   *session  // neighbours in the queue of the phase
}

// run greets the client and reads its input until the session ends.
func (s *session) run() {
	defer s.disconnected()
	if !s.greet() {
		return
	}
	for {
		s.discarded = discarded{}
		if s.conn.read() != nil || !s.slowDown() {
			return
		}
		if s.conn.readFull && !s.reads.take(readBurst, readRate) {
			s.server.reads.wait(readBufferBytes * time.Second / maxReadRate)
		}
	}
}

// greet sends the greeting, after evicting other sessions if the limit is exceeded. If no session can be evicted, greet
// rejects the new session with an error.
func (s *session) greet() bool {
	removed, ok := s.server.admit(s)
	for _, r := range removed {
		r.conn.closeSoon()
	}
	if ok {
		return s.write(appendGreeting(nil, s.id)) == nil
	}
	s.server.options.Counters.Add("sessions_refused", 1)
	if s.failAndDrain(errTooManyConnections, "Too many connections"); !s.isDraining() {
		return false
	}
	s.startDrain()
	return true
}

// slowDown slows a client down whose input is discarded. It returns false if the session must end, because the client
// goes on after its final error. A client that goes on after the end of its input does not wait for the answer to its
// open request, which is cancelled.
func (s *session) slowDown() bool {
	d := s.discarded
	if d.flooded {
		s.countFlood()
	}
	if d.bytes == 0 || !s.input.hasEnded() {
		return true
	}
	s.server.drains.wait(time.Duration(d.bytes) * time.Second / maxDrainRate)
	if s.drained += d.bytes; s.drained <= maxDrainBytes {
		return true
	}
	s.countFlood()
	s.abandonRequest()
	return !s.isDraining()
}

// countFlood counts the session as flooded, once.
func (s *session) countFlood() {
	if !s.flooded {
		s.flooded = true
		s.server.options.Counters.Add("sessions_flooded", 1)
	}
}

// disconnected ends the session after its connection could not be read any further. The open request is abandoned
// before the descriptor is free for another connection: an attempt that is about to start asks the descriptor whether
// its client is connected.
func (s *session) disconnected() {
	s.unregister()
	s.abandonRequest()
	s.dropInbox()
	s.conn.close()
}

// unregister removes the session from the server, so that no further request is accepted.
func (s *session) unregister() {
	s.server.mu.Lock()
	s.server.sessions.remove(s)
	s.server.mu.Unlock()
}

// close unregisters the session, so that no further request is accepted, and closes its connection.
func (s *session) close() {
	s.unregister()
	s.conn.close()
}

// serveInbox serves commands until there is none left or the session ends.
func (s *session) serveInbox() {
	for {
		c, ok := s.nextCommand()
		if !ok {
			return
		}
		if !s.servePacket(c) {
			s.stopServing()
			return
		}
		if !s.commands.take(commandBurst, commandRate) {
			s.server.commands.wait(time.Second / maxPacedCommandRate)
		}
		if s.hasCommands() {
			runtime.Gosched() // a client with many commands must not use up a whole time slice of the scheduler
		}
	}
}

// hasCommands reports whether commands wait to be served.
func (s *session) hasCommands() bool {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	return s.served < len(s.inbox)
}

// stopServing closes the session, or discards its input for a while after a final error.
func (s *session) stopServing() {
	if s.isDraining() {
		s.startDrain()
	} else {
		s.close()
	}
	s.dropInbox()
}

func (s *session) isDraining() bool {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	return s.draining
}

// startDrain lets the goroutine that reads the connection end the session once the client has closed its side, or after
// drainTimeout. All input is discarded.
func (s *session) startDrain() {
	s.input.close()
	s.conn.closeWrite()
	s.conn.endAfter(drainTimeout)
}

// abandonRequest reports to the handler that the client no longer waits for the open request, if there is one.
func (s *session) abandonRequest() {
	s.server.mu.Lock()
	x := s.openExchange
	s.server.mu.Unlock()
	if x != nil {
		s.server.handler.ClientGone(x)
	}
}

// enter moves the session to a phase.
func (s *session) enter(p phase) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.foundIdle = false
	s.server.sessions.move(s, p, time.Now())
}

// openRequest records x as the open request. ok is false if the session has already been removed, for example because
// its client has disconnected or because the session was evicted: no further request of the session is accepted. The
// check holds the lock under which sessions are removed, so no request opens after the removal. killed reports that
// KILL QUERY cancelled the request before the request was read.
func (s *session) openRequest(x *exchange.Exchange) (ok, killed bool) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	killed, s.killed = s.killed, false
	if s.registered && !killed {
		s.openExchange = x
	}
	return s.registered, killed
}

// closeRequest clears the open request after it has been settled.
func (s *session) closeRequest() {
	s.server.mu.Lock()
	s.openExchange, s.answering = nil, true
	s.server.mu.Unlock()
}

// hasInput reports whether there is input that has not been served: in the kernel's receive buffer, on its way from
// there, or in the inbox. The caller holds the server's lock, under which commands get into the inbox.
func (s *session) hasInput() bool {
	return s.conn.hasUnread() || s.active || s.partial || len(s.inbox) > 0
}

// hasQueryToRead reports whether a KILL QUERY may be meant for a query that has not been opened yet: there is input
// that has not been served, or a command is being read. The caller holds the server's lock.
func (s *session) hasQueryToRead() bool {
	return s.conn.hasUnread() || s.partial || s.served < len(s.inbox) || (s.active && !s.answering)
}

// caughtUp reports whether all input has been read that the client had sent. Only then is it known whether the client
// has closed its connection behind its requests. It waits a moment for the goroutine that reads the connection.
func (s *session) caughtUp() bool {
	for end := time.Now().Add(catchUpTimeout); !s.conn.drained.Load(); time.Sleep(time.Millisecond) {
		if !s.conn.hasUnread() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
	return true
}
