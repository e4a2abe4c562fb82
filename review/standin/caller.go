package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// callRecord is what the callers know of one set-up.
type callRecord struct {
	id            string
	dest          int
	conn          *callerConn
	sentAt        time.Time
	left          time.Duration
	answers       int // whole answers read: an accept or the first end
	accepted      bool
	cause         int
	answerAt      time.Time
	released      bool // an end after the accept
	releasedAt    time.Time
	endedByCaller bool
	desc          string
	line          string // the set-up as it was sent
}

// callerConn is a connection of callers.
type callerConn struct {
	w    *world
	conn net.Conn
	name string
	mu   sync.Mutex
	done chan struct{}
	over time.Time // when it ended; set before done is closed
}

func (w *world) dialCaller(name string) (*callerConn, error) {
	c, err := net.DialTimeout("tcp4", w.listen, time.Second)
	if err != nil {
		return nil, err
	}
	cc := &callerConn{w: w, conn: c, name: name, done: make(chan struct{})}
	w.logf("%s: connected", name)
	go cc.read()
	return cc, nil
}

func (c *callerConn) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

type line struct {
	Op   string         `json:"op"`
	Call string         `json:"call"`
	With map[string]any `json:"with"`
	Why  int            `json:"why"`
	Desc string         `json:"desc"`
}

func (c *callerConn) read() {
	defer close(c.done)
	defer func() { c.over = time.Now() }()
	defer c.conn.Close()
	r := bufio.NewReaderSize(c.conn, 1<<16)
	for {
		text, err := r.ReadBytes('\n')
		if err != nil {
			c.w.mu.Lock()
			c.w.logLocked("%s: connection ended: %v", c.name, err)
			c.w.mu.Unlock()
			return
		}
		var m line
		if err := json.Unmarshal(text, &m); err != nil {
			c.w.logf("%s <- not readable: %q", c.name, text)
			continue
		}
		now := time.Now()
		c.w.mu.Lock()
		c.w.logLocked("%s <- %s %s why %d", c.name, m.Op, m.Call, m.Why)
		call := c.w.calls[m.Call]
		confirm := false
		if call != nil {
			switch {
			case m.Op == "accept":
				call.answers++
				call.accepted, call.answerAt, call.desc = true, now, m.Desc
			case m.Op == "end" && call.accepted:
				call.released, call.releasedAt, call.cause = true, now, m.Why
				confirm = true
			case m.Op == "end":
				call.answers++
				call.answerAt, call.cause = now, m.Why
			}
		}
		c.w.mu.Unlock()
		if confirm {
			c.send(fmt.Sprintf(`{"op":"ended","call":"%s","with":{}}`+"\n", m.Call))
		}
	}
}

func (c *callerConn) send(text string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := c.conn.Write([]byte(text))
	return err
}

// offer sends a set-up and returns its record; nil if it could not be written.
//
// A call in transit comes from an exchange other than its destination.
func (c *callerConn) offer(dest int, class string, left time.Duration, transit bool, desc string) *callRecord {
	w := c.w
	w.mu.Lock()
	w.nextCall++
	n := w.nextCall
	call := &callRecord{id: fmt.Sprintf("%08x%08x", uint32(w.start.UnixNano()), n), dest: dest, conn: c, left: left}
	w.calls[call.id] = call
	w.mu.Unlock()
	extras := fmt.Sprintf("dest:%d;width:1;via:-1", dest)
	if transit {
		extras = fmt.Sprintf("dest:%d;width:1;via:%d;transit:1", dest, dest%6+1)
	}
	if desc == "" {
		desc = "offer-" + call.id + "\r\nc=IN IP4 127.0.0.1\r\n"
	}
	b, _ := json.Marshal(map[string]any{"op": "offer", "call": call.id, "with": map[string]any{"class": class, "left": fmt.Sprint(left.Milliseconds()),
		"key": fmt.Sprintf("%016x", 0x7f3a9c2100000000+uint64(n)), "extras": extras}, "desc": desc})
	call.line = string(b) + "\n"
	err := c.send(call.line)
	w.mu.Lock()
	defer w.mu.Unlock()
	call.sentAt = time.Now()
	if err != nil {
		delete(w.calls, call.id)
		w.logLocked("%s: %s could not be written: %v", c.name, call.id, err)
		return nil
	}
	w.logLocked("%s -> offer %s dest %d left %d transit %v", c.name, call.id, dest, left.Milliseconds(), transit)
	return call
}

// offerAgain sends a set-up again whose connection was closed while it was on its way; false: it could not be written.
func (c *callerConn) offerAgain(call *callRecord) bool {
	c.w.mu.Lock()
	call.conn, call.sentAt = c, time.Now()
	c.w.logLocked("%s -> offer %s again", c.name, call.id)
	c.w.mu.Unlock()
	return c.send(call.line) == nil
}

// endedAt returns when the connection, which has ended, did so.
func (c *callerConn) endedAt() time.Time {
	<-c.done
	return c.over
}

// end sends the caller's release of a call that stands.
func (c *callerConn) end(call *callRecord) {
	c.w.mu.Lock()
	call.endedByCaller = true
	c.w.logLocked("%s -> end %s", c.name, call.id)
	c.w.mu.Unlock()
	c.send(fmt.Sprintf(`{"op":"end","call":"%s","with":{},"why":16}`+"\n", call.id))
}

// get returns a copy of a call's record.
func (w *world) get(call *callRecord) callRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	return *call
}
