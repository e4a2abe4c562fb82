package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"time"
)

// callers is a stand-in of the callers: a few connections that are shared by their calls.
type callers struct {
	w     *world
	conns []*callerConn
	next  int
}

type callerConn struct {
	net.Conn
	endedAt time.Time // when the controller closed it
	own     bool      // it was closed by the callers
}

type line struct {
	Op   string            `json:"op"`
	Call string            `json:"call"`
	With map[string]string `json:"with"`
	Why  *int              `json:"why,omitempty"`
	Desc string            `json:"desc,omitempty"`
}

// newID returns a new id of 16 hex digits; w.mu is held.
func (w *world) newID() string {
	w.nextID += 0x9e3779b97f4a7c15
	return fmt.Sprintf("%016x", w.nextID)
}

// connect opens connections to the controller.
func (c *callers) connect(n int) error {
	for range n {
		if _, err := c.dial(false); err != nil {
			return err
		}
	}
	return nil
}

func (c *callers) dial(bad bool) (*callerConn, error) {
	conn, err := net.DialTimeout("tcp4", c.w.control.addr, time.Second)
	if err != nil {
		return nil, err
	}
	x := &callerConn{Conn: conn}
	if !bad {
		c.w.mu.Lock()
		c.conns = append(c.conns, x)
		c.w.mu.Unlock()
	}
	go c.read(x)
	return x, nil
}

// send writes a line; w.mu is held.
func (x *callerConn) send(l *line) {
	b, _ := json.Marshal(l)
	x.SetWriteDeadline(time.Now().Add(time.Second))
	x.Write(append(b, '\n'))
}

func (c *callers) read(x *callerConn) {
	w := c.w
	r := bufio.NewReader(x.Conn)
	for {
		text, err := r.ReadString('\n')
		w.mu.Lock()
		if err != nil {
			if err != io.EOF || text != "" {
				w.log("caller: connection ends: %v", err)
			} else {
				w.log("caller: connection ends")
			}
			if !x.own && !w.closing {
				x.endedAt = time.Now()
			}
			c.conns = slices.DeleteFunc(c.conns, func(y *callerConn) bool { return y == x })
			x.Close()
			w.mu.Unlock()
			return
		}
		var l line
		if json.Unmarshal([]byte(text), &l) != nil {
			w.breaks("lost", "a caller can't read %q", text)
		} else {
			c.handle(x, &l)
		}
		w.mu.Unlock()
	}
}

// handle handles a message of the controller; w.mu is held.
func (c *callers) handle(x *callerConn, l *line) {
	w := c.w
	k := w.calls[l.Call]
	why := 0
	if l.Why != nil {
		why = *l.Why
	}
	switch l.Op {
	case "accept":
		w.log("caller< accept %s", l.Call)
		if k == nil {
			w.breaks("unasked", "an answer to %s, which nobody sent", l.Call)
			return
		}
		k.answers++
		k.answer, k.answeredAt, k.standing, k.desc = "accept", time.Now(), true, l.Desc
		if !slices.Contains(k.given, l.Desc) {
			w.breaks("lost", "call %s is answered with a description that no switch gave for it", l.Call)
		}
	case "end":
		w.log("caller< end %s cause %d", l.Call, why)
		switch {
		case k == nil:
		case k.standing:
			k.standing, k.releasedAt = false, time.Now()
			x.send(&line{Op: "ended", Call: l.Call, With: map[string]string{}})
		case k.answer == "":
			k.answers++
			k.answer, k.cause, k.answeredAt = "end", why, time.Now()
		}
	case "ended", "ringing", "tested":
	}
}

// offer sends a set-up on the next connection; w.mu is held.
func (c *callers) offer(dest int, left time.Duration) *call {
	if len(c.conns) == 0 {
		return nil
	}
	c.next++
	x := c.conns[c.next%len(c.conns)]
	w := c.w
	k := &call{id: w.newID(), class: "map-tile", dest: dest, sent: time.Now(), left: left, overs: map[string]end{}, conn: x}
	w.calls[k.id], w.order = k, append(w.order, k)
	w.log("caller> offer %s to %d, waits %v", k.id, dest, left)
	x.send(c.offerLine(k, ""))
	time.AfterFunc(left+answerLimit+slack, func() { c.giveUp(k) })
	return k
}

// giveUp takes back a set-up that has no answer after its time.
func (c *callers) giveUp(k *call) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if k.answers == 0 && k.conn.endedAt.IsZero() && !c.w.closing {
		k.gaveUp = true
		why := 16
		c.w.breaks("late", "call %s has no answer %v after it was sent", k.id, k.left+answerLimit)
		c.w.log("caller> gives up %s", k.id)
		k.conn.send(&line{Op: "end", Call: k.id, With: map[string]string{}, Why: &why})
	}
}

func (c *callers) offerLine(k *call, at string) *line {
	extras := fmt.Sprintf("dest:%d;width:1;via:-1", k.dest)
	if at != "" {
		extras += ";at:" + at
	}
	return &line{Op: "offer", Call: k.id, Desc: description(k.id), With: map[string]string{"class": k.class, "left": fmt.Sprint(k.left.Milliseconds()),
		"key": "7f3a" + k.id[4:], "extras": extras}}
}

// report tells the controller after its start which calls stand; w.mu is held.
func (c *callers) report() {
	for _, k := range c.w.order {
		if k.standing && len(c.conns) > 0 {
			c.w.log("caller> offer %s at %s", k.id, k.at)
			c.conns[0].send(c.offerLine(k, k.at))
		}
	}
}

// traffic offers calls to the destinations in turn until the time is over.
func (c *callers) traffic(d, every, left time.Duration, dests ...int) {
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		c.w.mu.Lock()
		none := len(c.conns) == 0
		c.w.mu.Unlock()
		if none && c.connect(1) != nil {
			time.Sleep(every)
			continue
		}
		c.w.mu.Lock()
		c.offer(dests[i%len(dests)], left)
		c.w.mu.Unlock()
		time.Sleep(every)
	}
}
