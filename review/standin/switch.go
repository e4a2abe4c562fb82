package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// sw is a stand-in of a switch.
type sw struct {
	w        *world
	id       string
	code     int
	address  string
	listener net.Listener

	mu       sync.Mutex
	hung     bool          // it takes set-ups and answers none
	delay    time.Duration // until a set-up is answered
	conns    []*swConn     // open, in the order of their arrival
	standing map[string]*standingCall
	open     map[string]*swConn // set-ups without an answer
	size     int                // circuits of its group
	pending  []string           // releases that the next connection opened brings too
	describe func(call string) string
	setUps   []setUp // all that have arrived
}

// setUp is an INVITE that has arrived.
type setUp struct {
	id string
	at time.Time
}

// standingCall is a call that stands at a switch.
type standingCall struct {
	id, number string
	conn       *swConn
}

type swConn struct {
	net.Conn
	n  int
	mu sync.Mutex
}

func (c *swConn) send(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.SetWriteDeadline(time.Now().Add(2 * time.Second))
	io.WriteString(c.Conn, text)
}

func newSwitch(w *world, id string, code int) *sw {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	s := &sw{w: w, id: id, code: code, address: l.Addr().String(), listener: l, delay: 20 * time.Millisecond, standing: map[string]*standingCall{},
		open: map[string]*swConn{}, size: 60}
	s.describe = func(call string) string { return "answer-" + call + "\r\nc=IN IP4 127.0.0.1\r\n" }
	go s.accept()
	return s
}

func (s *sw) accept() {
	for n := 1; ; n++ {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(&swConn{Conn: c, n: n})
	}
}

// serve reads the messages of one connection.
func (s *sw) serve(c *swConn) {
	s.w.logf("%s: connection %d opened", s.id, c.n)
	s.mu.Lock()
	s.conns = append(s.conns, c)
	pending := s.pending
	s.pending = nil
	notify := s.notifyText()
	s.mu.Unlock()
	c.send(notify)
	for _, text := range pending { // a switch also sends its release on the next connection opened
		s.w.logf("%s: release sent on the new connection %d: %s", s.id, c.n, callID(text))
		c.send(text)
	}
	defer func() {
		c.Close()
		s.mu.Lock()
		for i, x := range s.conns {
			if x == c {
				s.conns = append(s.conns[:i:i], s.conns[i+1:]...)
				break
			}
		}
		for id, x := range s.open { // the set-ups open on it are given up
			if x == c {
				delete(s.open, id)
			}
		}
		s.mu.Unlock()
		s.w.logf("%s: connection %d ended", s.id, c.n)
	}()
	r := textproto.NewReader(bufio.NewReader(c))
	for {
		line, err := r.ReadLine()
		if err != nil {
			return
		}
		if line == "" {
			continue
		}
		header, err := r.ReadMIMEHeader()
		if err != nil {
			return
		}
		length, err := strconv.Atoi(header.Get("Content-Length"))
		if err != nil || length < 0 || length > 16384 {
			return
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(r.R, body); err != nil {
			return
		}
		s.handle(c, line, header, string(body))
	}
}

func callID(text string) string {
	_, rest, _ := strings.Cut(text, "Call-ID: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

func response(status int, phrase, id, cseq, extra, body string) string {
	return fmt.Sprintf("SIP/2.0 %d %s\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, phrase, id, cseq, extra, len(body), body)
}

func (s *sw) free() int { return s.size - len(s.standing) - len(s.open) }

// notifyText is the state of the group; s.mu is held.
func (s *sw) notifyText() string {
	return fmt.Sprintf("NOTIFY sip:group@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 00000000000000%02x\r\nCSeq: 1 NOTIFY\r\nX-State: free=%d;size=%d\r\nContent-Length: 0\r\n\r\n",
		s.code, s.free(), s.size)
}

// changed reports the state of the group on each connection.
func (s *sw) changed() {
	s.mu.Lock()
	text, conns := s.notifyText(), append([]*swConn(nil), s.conns...)
	s.mu.Unlock()
	for _, c := range conns {
		c.send(text)
	}
}

func (s *sw) handle(c *swConn, line string, h textproto.MIMEHeader, body string) {
	id, cseq := h.Get("Call-Id"), h.Get("Cseq")
	method, rest, _ := strings.Cut(line, " ")
	if method == "SIP/2.0" {
		return // answers to releases are free
	}
	number, _, _ := strings.Cut(strings.TrimPrefix(rest, "sip:"), "@")
	if method != "ACK" {
		s.w.logf("%s conn %d <- %s %s patience %s", s.id, c.n, method, id, h.Get("X-Patience"))
	}
	s.mu.Lock()
	hung, delay := s.hung, s.delay
	s.mu.Unlock()
	switch method {
	case "INVITE":
		s.mu.Lock()
		s.open[id] = c
		s.setUps = append(s.setUps, setUp{id, time.Now()})
		s.mu.Unlock()
		if hung {
			return
		}
		s.changed()
		time.AfterFunc(delay, func() { s.answer(c, id, number, cseq) })
	case "CANCEL":
		s.mu.Lock()
		delete(s.open, id)
		s.mu.Unlock()
		if hung {
			return
		}
		c.send(response(200, "OK", id, cseq, "", ""))
	case "BYE":
		s.mu.Lock()
		_, stood := s.standing[id]
		delete(s.standing, id)
		s.mu.Unlock()
		if hung {
			return
		}
		c.send(response(200, "OK", id, cseq, "", ""))
		if stood {
			s.changed()
		}
	case "OPTIONS":
		if !hung {
			c.send(response(200, "OK", id, cseq, "", ""))
		}
	}
}

// answer lets a set-up stand, unless it was given up.
func (s *sw) answer(c *swConn, id, number, cseq string) {
	s.mu.Lock()
	if s.hung || s.open[id] != c {
		s.mu.Unlock()
		return
	}
	delete(s.open, id)
	s.standing[id] = &standingCall{id: id, number: number, conn: c}
	body := s.describe(id)
	s.mu.Unlock()
	s.w.logf("%s conn %d -> 200 %s", s.id, c.n, id)
	c.send(response(200, "OK", id, cseq, "", body))
}

// release ends a call that stands: on the connection that its set-up used, else on any open one, and on the next one opened.
func (s *sw) release(id string, cause int) bool {
	s.mu.Lock()
	call := s.standing[id]
	if call == nil {
		s.mu.Unlock()
		return false
	}
	delete(s.standing, id)
	text := fmt.Sprintf("BYE sip:%s@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=%d\r\nContent-Length: 0\r\n\r\n", call.number, id, cause)
	s.pending = append(s.pending, text)
	var to *swConn
	for _, c := range s.conns {
		if c == call.conn || to == nil {
			to = c
		}
		if c == call.conn {
			break
		}
	}
	s.mu.Unlock()
	if to != nil {
		s.w.logf("%s conn %d -> BYE %s cause %d", s.id, to.n, id, cause)
		to.send(text)
	}
	s.changed()
	return true
}

// stands reports whether a call stands at the switch.
func (s *sw) stands(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.standing[id] != nil
}

// setBacklog changes the length of a listener's queue.
func setBacklog(l net.Listener, n int) {
	raw, err := l.(*net.TCPListener).SyscallConn()
	must(err)
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
}
