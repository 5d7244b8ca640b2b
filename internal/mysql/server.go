// Package mysql is the client side: the MySQL client protocol 4.1 with text results, as far as gateways of the
// platform use it. It knows nothing of engines, and decides nothing.
package mysql

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"beechcart/internal/copycount"
	"beechcart/internal/exchange"
	"beechcart/internal/invariant"
	"beechcart/internal/platformconfig"
)

// RequestHandler takes requests; their exchanges bring the final answers.
type RequestHandler interface {
	Accept(x *exchange.Exchange)
	ClientGone(x *exchange.Exchange)
}

// Options are what the client side is built with.
type Options struct {
	Names       platformconfig.Names
	MaxSessions int           // most sessions at once
	IdleTimeout time.Duration // a session that asks nothing is closed after this; 0: idleWait
	Counters    *invariant.Counters
	Log         *slog.Logger
}

// The bounds of a session. A client that sends nothing of use is answered or closed within 3 s.
const (
	maxPacket   = 256 << 10
	maxBehind   = 256 << 10               // bytes that may pile up behind an open request
	mostInput   = maxPacket + maxBehind   // ... and in all, at any other time
	firstWait   = 2500 * time.Millisecond // from the connect to the first command
	silentAfter = time.Second             // a session that has asked nothing by then is hardly about to
	packetWait  = 2500 * time.Millisecond // for the rest of a packet that has begun
	idleWait    = 5 * time.Second         // clients close after 4 s; only a silent peer stays longer
	crossWait   = 250 * time.Millisecond  // more, for what has come and was not looked at yet
	writeWait   = 5 * time.Second
	lastWait    = 500 * time.Millisecond // for the peer's close after a last error
	lastBytes   = 1 << 20                // ... unless it sends so much before
	sweepEvery  = 25 * time.Millisecond
	malformedIn = 5 * time.Second // one line of malformed input in so long
	directWrite = 4 << 10         // netpoll's writer copies less than this
)

// phase is what a session is at.
type phase int

const (
	greeted phase = iota // no command yet: it may have logged in
	idle                 // between commands
	reading              // a packet has begun
	serving              // a request is open
	closing              // the last error has been written
	phases               // how many there are
)

// Server serves sessions on one listener.
type Server struct {
	opt   Options
	taker RequestHandler
	loop  netpoll.EventLoop

	mu       sync.Mutex
	sessions sessions
	listener netpoll.Listener // nil before Serve
	told     time.Time        // when malformed input was last logged
}

// session is one connection of a client.
type session struct {
	srv    *Server
	id     uint32
	conn   netpoll.Connection
	fd     int32 // of the connection; -1: not known
	seq    byte
	logged bool
	asked  bool // it has sent a command

	// Guarded by the server's lock.
	open       *exchange.Exchange // the request in hand
	reads      bool               // a packet is in hand
	killed     bool               // KILL QUERY has overtaken the query that it is meant for
	phase      phase
	since      time.Time // when that phase began; of a session without a command: when it connected
	listed     bool      // its requests are taken: whoever ends the session drops it first
	prev, next *session
}

type sessionKey struct{}

// New returns a server that hands requests to taker.
func New(opt Options, taker RequestHandler) (*Server, error) {
	if opt.IdleTimeout == 0 {
		opt.IdleTimeout = idleWait
	}
	s := &Server{opt: opt, taker: taker, sessions: sessions{byID: map[uint32]*session{}}}
	loop, err := netpoll.NewEventLoop(s.request, netpoll.WithOnPrepare(s.accepted), netpoll.WithOnConnect(s.connect),
		netpoll.WithOnDisconnect(s.disconnect), netpoll.WithReadTimeout(packetWait), netpoll.WithWriteTimeout(writeWait))
	if err != nil {
		return nil, fmt.Errorf("mysql: %w", err)
	}
	s.loop = loop
	return s, nil
}

// Serve accepts sessions at the address until Shutdown.
func (s *Server) Serve(addr string) error {
	l, err := netpoll.CreateListener("tcp", addr)
	if err != nil {
		return fmt.Errorf("mysql: %w", err)
	}
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	s.opt.Log.Info("listening", "address", l.Addr().String())
	stop := make(chan struct{})
	defer close(stop)
	go s.sweep(stop)
	return s.loop.Serve(l)
}

// Shutdown closes each session as soon as nothing is open on it, and then the listener. It ends with ctx, whatever is open then.
// The listener goes last, once nobody waits to be accepted: a client that stops waiting says so on a session of its own, and what
// has been written to a connection that the machine holds for us counts as taken. Two looks in a row have to find nothing, as a
// connection is on its way for a moment between the machine's queue and the list of sessions.
func (s *Server) Shutdown(ctx context.Context) error {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for quiet := 0; quiet < 2; quiet++ {
		if s.awaited() || s.closeIdle() > 0 {
			quiet = -1
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), s.end(ctx))
		case <-tick.C:
		}
	}
	return s.end(ctx)
}

// end closes the listener and what is left of the sessions, of which nothing more is taken.
func (s *Server) end(ctx context.Context) error {
	s.mu.Lock()
	for _, ses := range s.sessions.byID {
		s.sessions.drop(ses)
	}
	s.mu.Unlock()
	return s.loop.Shutdown(ctx)
}

// awaited tells that a connection waits to be accepted.
func (s *Server) awaited() bool {
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l == nil {
		return false
	}
	fds := []unix.PollFd{{Fd: int32(l.Fd()), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
}

// closeIdle closes sessions on which nothing is open or on its way, and tells on how many there is. One that has just come stays: it
// may be about to end another's query.
func (s *Server) closeIdle() (busy int) {
	var out []*session
	s.mu.Lock()
	for _, ses := range s.sessions.byID {
		switch {
		case ses.phase == serving || ses.phase == closing || ses.reads || ses.unread():
			busy++
		case ses.phase != greeted || time.Since(ses.since) >= lastWait:
			out = append(out, ses)
			s.sessions.drop(ses)
		}
	}
	s.mu.Unlock()
	for _, ses := range out {
		_ = ses.conn.Close()
	}
	return busy
}

// accepted lists a connection as soon as the machine has handed it over. It runs on the goroutine that all connections are read by,
// so it must end none: the library would wait there for itself.
func (s *Server) accepted(c netpoll.Connection) context.Context {
	ses := &session{srv: s, conn: c, fd: descriptor(c), since: time.Now()}
	s.mu.Lock()
	// The id lets anyone end the session's query, so it can't be guessed.
	for ses.id == 0 || s.sessions.byID[ses.id] != nil {
		ses.id = rand.Uint32()
	}
	s.sessions.add(ses)
	s.mu.Unlock()
	return context.WithValue(context.Background(), sessionKey{}, ses)
}

func (s *Server) connect(ctx context.Context, c netpoll.Connection) context.Context {
	ses := ctx.Value(sessionKey{}).(*session)
	out, ok := s.admit(ses)
	for _, o := range out {
		s.opt.Counters.Add("sessions_evicted", 1)
		_ = o.conn.Close()
	}
	if !ok {
		s.opt.Counters.Add("sessions_refused", 1)
		ses.last(codeRefused, "08004", "Too many connections")
		_ = ses.end()
	} else if ses.write(appendGreeting(nil, ses.id)) != nil {
		_ = c.Close()
	}
	return ctx
}

// admit tells whether a session may stay, and which have to end for it. Guards against silent peers that fill the bound: the one of
// least use makes room. One that is refused stays listed until its error has been read, or until the next comes, so there is one
// such at a time.
func (s *Server) admit(ses *session) (out []*session, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ses.listed && len(s.sessions.byID) > s.opt.MaxSessions {
		o := s.sessions.leastUsed(ses)
		if o == ses {
			return out, false
		}
		s.sessions.drop(o)
		out = append(out, o)
	}
	return out, true
}

// disconnect is called at once when the peer has closed, also while a request is in hand.
func (s *Server) disconnect(ctx context.Context, _ netpoll.Connection) {
	ses, _ := ctx.Value(sessionKey{}).(*session)
	if ses == nil {
		return
	}
	s.mu.Lock()
	s.sessions.drop(ses)
	s.mu.Unlock()
	ses.abandon()
}

// request reads what a session has sent; it is called for one packet at a time.
func (s *Server) request(ctx context.Context, c netpoll.Connection) error {
	ses, _ := ctx.Value(sessionKey{}).(*session)
	if ses == nil {
		return c.Close()
	}
	ses.enter(reading)
	if !ses.packet() {
		return ses.end()
	}
	ses.enter(idle)
	return nil
}

// sweep closes sessions that have been at one thing for too long, or whose input piles up.
func (s *Server) sweep(stop <-chan struct{}) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	var old []*session
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		old = old[:0]
		s.mu.Lock()
		s.sessions.overdue(time.Now(), s.opt.IdleTimeout, func(ses *session, why string) {
			s.opt.Counters.Add(why, 1)
			old = append(old, ses)
		})
		s.mu.Unlock()
		for _, ses := range old {
			_ = ses.conn.Close()
			ses.abandon() // the descriptor is held until the request in hand is let go
		}
		clear(old)
	}
}

// malformed counts input that can't be used, and logs some of it.
func (s *Server) malformed(ses *session, why string) {
	s.opt.Counters.Add("malformed", 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.told) < malformedIn {
		return
	}
	s.told = time.Now()
	s.opt.Log.Warn("malformed input", "peer", ses.conn.RemoteAddr().String(), "why", why)
}

// kill ends the request in hand of the session with that id; false when there is no such session.
func (s *Server) kill(id uint32) bool {
	s.mu.Lock()
	ses := s.sessions.byID[id]
	s.mu.Unlock()
	if ses == nil {
		return false
	}
	s.opt.Counters.Add("kills", 1)
	s.mu.Lock()
	// Guards against a KILL that overtakes its query on the way through here: nobody would wait for what it starts.
	ses.killed = ses.open == nil && (ses.reads || ses.unread())
	s.mu.Unlock()
	ses.abandon()
	return true
}

// end closes the session; nothing more is taken from it.
func (s *session) end() error {
	s.srv.mu.Lock()
	s.srv.sessions.drop(s)
	s.srv.mu.Unlock()
	return s.conn.Close()
}

// abandon lets the request in hand go: nobody waits for it.
func (s *session) abandon() {
	s.srv.mu.Lock()
	x := s.open
	s.srv.mu.Unlock()
	if x != nil {
		s.srv.taker.ClientGone(x)
	}
}

// enter moves the session to a phase. Until its first command it counts from its connect, whatever it sends.
func (s *session) enter(p phase) {
	s.srv.mu.Lock()
	defer s.srv.mu.Unlock()
	if s.reads = p == reading; p == idle {
		s.killed = false // what came was no query
	}
	if s.phase == greeted && (p == reading || (p == idle && !s.asked)) {
		return
	}
	s.srv.sessions.move(s, p, time.Now())
}

// hold makes a request the one in hand; ok tells that the session stands and it is to be served. Guards against requests of
// clients that have gone, and of sessions that have just been chosen to make room: both are dropped first, under the same lock,
// and then nothing is taken from them any more, however much they have sent.
func (s *session) hold(x *exchange.Exchange) (ok, killed bool) {
	s.srv.mu.Lock()
	defer s.srv.mu.Unlock()
	killed, s.killed = s.killed, false
	if s.listed && !killed {
		s.open = x
	}
	return s.listed, killed
}

// release tells that the request in hand has its answer.
func (s *session) release() {
	s.srv.mu.Lock()
	s.open = nil
	s.srv.mu.Unlock()
}

// unread tells that the session has sent what nobody has looked at yet.
func (s *session) unread() bool {
	if s.conn.Reader().Len() > 0 {
		return true
	}
	c, ok := s.conn.(netpoll.Conn)
	if !ok {
		return false
	}
	n, err := unix.IoctlGetInt(c.Fd(), unix.TIOCINQ)
	return err == nil && n > 0
}

func (s *session) write(b []byte) error {
	if len(b) < directWrite {
		copycount.Add(copycount.Output, len(b)) // netpoll copies what is small, and links what is large
	}
	if _, err := s.conn.Writer().WriteBinary(b); err != nil {
		return err
	}
	return s.conn.Writer().Flush()
}

// packet serves one packet; false ends the session.
func (s *session) packet() bool {
	r := s.conn.Reader()
	head, err := r.Next(4)
	if err != nil {
		return false
	}
	size := int(head[0]) | int(head[1])<<8 | int(head[2])<<16
	s.seq = head[3] + 1
	// Guards against a client that sends on and on, each packet as it should be: the network library reads all of it.
	if r.Len() > mostInput {
		s.srv.opt.Counters.Add("sessions_flooded", 1)
		return false
	}
	if size > maxPacket || size == 0 {
		s.srv.malformed(s, fmt.Sprintf("packet of %d bytes", size))
		return s.last(codeTooLarge, "08S01", "packet size is out of bounds")
	}
	p, err := r.Next(size)
	if err != nil {
		return false
	}
	ok := s.serve(p)
	_ = r.Release()
	return ok
}

// last writes a last error and ends the session. Guards against the error being lost: closing with input unread
// resets the connection, which can take with it what the peer has not read yet. So what the peer still sends is
// thrown away until it closes, for a moment.
func (s *session) last(code int, state, message string) bool {
	if !s.fail(code, state, message) {
		return false
	}
	s.enter(closing)
	// The descriptor is ours for as long as this callback runs.
	if c, ok := s.conn.(netpoll.Conn); ok {
		_ = syscall.Shutdown(c.Fd(), syscall.SHUT_WR)
	}
	r, end := s.conn.Reader(), time.Now().Add(lastWait)
	for bytes := 0; bytes < lastBytes; {
		left := time.Until(end)
		if left <= 0 || s.conn.SetReadTimeout(left) != nil {
			break
		}
		if _, err := r.Peek(1); err != nil {
			break
		}
		n := r.Len()
		if r.Skip(n) != nil || r.Release() != nil {
			break
		}
		bytes += n
	}
	return false
}

func (s *session) fail(code int, state, message string) bool {
	return s.write(appendError(nil, &s.seq, code, state, message)) == nil
}

func (s *session) ok() bool { return s.write(appendOK(nil, &s.seq)) == nil }

func (s *session) serve(p []byte) bool {
	if !s.logged {
		return s.login(p)
	}
	s.asked = true
	switch p[0] {
	case comQuit:
		return false
	case comPing:
		return s.ok()
	case comInitDB:
		if string(p[1:]) != database {
			return s.fail(codeUnknownDB, "42000", "Unknown database")
		}
		return s.ok()
	case comQuery:
		return s.query(p[1:])
	}
	s.srv.malformed(s, fmt.Sprintf("command %d", p[0]))
	return s.fail(codeUnknownCom, "08S01", "Unknown command")
}

func (s *session) login(p []byte) bool {
	l, err := parseLogin(p)
	if err != nil {
		s.srv.malformed(s, err.Error())
		return s.last(codeBadHandshake, "08S01", "Bad handshake")
	}
	if string(l.user) != user || len(l.auth) > 0 {
		s.srv.malformed(s, "login denied")
		return s.last(codeDenied, "28000", "Access denied")
	}
	if len(l.db) > 0 && string(l.db) != database {
		return s.last(codeUnknownDB, "42000", "Unknown database")
	}
	s.logged = true
	return s.ok()
}

// query serves one COM_QUERY: the answer is written here, by the session's own goroutine.
func (s *session) query(q []byte) bool {
	arrived := time.Now()
	if id, ok := parseKill(q); ok {
		if !s.srv.kill(id) {
			return s.fail(codeUnknownThread, "HY000", "Unknown thread id")
		}
		return s.ok()
	}
	req, err := parseQuery(q, s.srv.opt.Names)
	if err != nil {
		s.srv.malformed(s, err.Error())
		return s.fail(codeParse, "42000", err.Error())
	}
	x := exchange.New(req, arrived)
	x.Client = s
	s.enter(serving)
	switch ok, killed := s.hold(x); {
	case !ok:
		s.srv.opt.Counters.Add("left_unread", 1)
		return false
	case killed:
		return s.answer(exchange.Answer{Kind: exchange.ClientGone})
	}
	s.srv.taker.Accept(x)
	<-x.Done()
	s.release()
	return s.answer(x.Answer())
}

// result encodes rows straight into the connection's output, in one write.
func (s *session) result(rows []byte, size int) bool {
	out, err := s.conn.Writer().Malloc(size)
	if err != nil {
		return false
	}
	copycount.Add(copycount.Encode, len(rows))
	b := appendResult(out[:0], &s.seq, rows)
	s.srv.opt.Counters.Hold(len(b) == size, "result_size")
	return s.conn.Writer().Flush() == nil
}

func (s *session) answer(a exchange.Answer) bool {
	switch a.Kind {
	case exchange.Served:
		// Guards against half a result: the server side passes on whole rows only.
		size, whole := resultSize(a.Rows)
		if !s.srv.opt.Counters.Hold(whole, "whole_rows") {
			return s.fail(codeFailed, "HY000", "the result was malformed")
		}
		return s.result(a.Rows, size)
	case exchange.Rejected:
		if a.RetryAfter > 0 {
			// w= is for the client's program, the rest for people.
			a.Reason += fmt.Sprintf("; retry after %d ms; w=%[1]d", a.RetryAfter.Milliseconds())
		}
		return s.fail(codeRefused, "08004", a.Reason)
	case exchange.Failed:
		return s.fail(codeFailed, "HY000", a.Reason)
	}
	return s.fail(codeInterrupted, "70100", "Query execution was interrupted")
}
