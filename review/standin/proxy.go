package main

import (
	"net"
	"sync"
	"time"
)

// proxy stands for the network in front of one switch. While it is cut, open connections stay open and silent, and new ones never
// come up; what was written meanwhile arrives when the cut is over, as with TCP.
type proxy struct {
	w        *world
	name     string
	backend  string
	listener *net.TCPListener

	mu      sync.Mutex
	cut     chan struct{} // closed when the cut is over; nil: no cut
	fillers map[string]net.Conn
	pairs   map[*pair]struct{}
}

// pair is a connection through the proxy.
type pair struct{ front, back net.Conn }

func newProxy(w *world, name, backend string) *proxy {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	p := &proxy{w: w, name: name, backend: backend, listener: l.(*net.TCPListener), fillers: map[string]net.Conn{}, pairs: map[*pair]struct{}{}}
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// wait returns when there is no cut.
func (p *proxy) wait() {
	for {
		p.mu.Lock()
		cut := p.cut
		p.mu.Unlock()
		if cut == nil {
			return
		}
		<-cut
	}
}

func (p *proxy) accept() {
	for {
		p.wait()
		c, err := p.listener.Accept()
		if err != nil {
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				time.Sleep(time.Millisecond)
				continue
			}
			return
		}
		p.mu.Lock()
		filler := p.fillers[c.RemoteAddr().String()]
		p.mu.Unlock()
		if filler != nil {
			filler.Close()
			c.Close()
			continue
		}
		back, err := net.Dial("tcp4", p.backend)
		if err != nil {
			c.Close()
			continue
		}
		x := &pair{c, back}
		p.mu.Lock()
		p.pairs[x] = struct{}{}
		p.mu.Unlock()
		go p.pump(x, c, back)
		go p.pump(x, back, c)
	}
}

// pump passes on what one side writes, and its end.
func (p *proxy) pump(x *pair, from, to net.Conn) {
	buf := make([]byte, 32768)
	for {
		n, err := from.Read(buf)
		p.wait()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			if err.Error() == "EOF" {
				to.(*net.TCPConn).CloseWrite()
			} else {
				to.Close()
			}
			return
		}
	}
}

// setCut begins or ends a cut.
func (p *proxy) setCut(on bool) {
	if on {
		p.mu.Lock()
		p.cut = make(chan struct{})
		p.mu.Unlock()
		p.listener.SetDeadline(time.Now()) // ends a pending Accept
		setBacklog(p.listener, 0)
		full := false
		for range 8 { // fill the queue of the listener: the kernel drops further connection requests
			c, err := net.DialTimeout("tcp4", p.address(), 50*time.Millisecond)
			if err != nil {
				full = true
				break
			}
			p.mu.Lock()
			p.fillers[c.LocalAddr().String()] = c
			p.mu.Unlock()
		}
		if !full {
			cannotRun("new connections still come up at %s", p.name)
		}
		p.w.logf("%s: cut off from now on", p.name)
		return
	}
	p.listener.SetDeadline(time.Time{})
	setBacklog(p.listener, 128)
	p.mu.Lock()
	close(p.cut)
	p.cut = nil
	p.mu.Unlock()
	p.w.logf("%s: no longer cut off", p.name)
}
