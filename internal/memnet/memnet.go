// Package memnet is a network in memory for tests: connections are buffered pipes, so that with testing/synctest whole
// days are played in exact time and without sockets.
package memnet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Network is one network. The zero Network is ready for use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	next      int
}

// Listen opens a listener; port 0 takes a free one.
func (n *Network) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	if port == "0" {
		n.next++
		addr = net.JoinHostPort(host, fmt.Sprint(10000+n.next))
	}
	if n.listeners[addr] != nil {
		return nil, errors.New("address in use")
	}
	l := &listener{net: n, addr: addr, conns: make(chan net.Conn, 128), done: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects to a listener.
func (n *Network) Dial(ctx context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	a, b := Pipe(64 * 1024)
	select {
	case l.conns <- b:
		return a, nil
	case <-l.done:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type listener struct {
	net   *Network
	addr  string
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.net.mu.Lock()
		delete(l.net.listeners, l.addr)
		l.net.mu.Unlock()
		close(l.done)
		for {
			select {
			case c := <-l.conns:
				c.Close()
				continue
			default:
			}
			return
		}
	})
	return nil
}

type addr string

func (a addr) Network() string { return "mem" }
func (a addr) String() string  { return string(a) }

func (l *listener) Addr() net.Addr { return addr(l.addr) }

// half is one direction of a connection.
type half struct {
	mu     sync.Mutex
	buf    []byte
	size   int
	closed bool
	ready  chan struct{} // closed and replaced whenever something changes
}

func (h *half) changed() {
	close(h.ready)
	h.ready = make(chan struct{})
}

// Pipe joins two connections; each direction holds size octets.
func Pipe(size int) (net.Conn, net.Conn) {
	x, y := &half{size: size, ready: make(chan struct{})}, &half{size: size, ready: make(chan struct{})}
	return &conn{in: x, out: y}, &conn{in: y, out: x}
}

type conn struct {
	in, out *half
	mu      sync.Mutex
	rd, wd  time.Time
}

func (c *conn) deadline(write bool) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if write {
		return c.wd
	}
	return c.rd
}

// wait waits for a change of h, at most until the deadline.
func wait(ready chan struct{}, deadline time.Time) error {
	if deadline.IsZero() {
		<-ready
		return nil
	}
	d := time.Until(deadline)
	if d <= 0 {
		return os.ErrDeadlineExceeded
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ready:
		return nil
	case <-t.C:
		return os.ErrDeadlineExceeded
	}
}

func (c *conn) Read(b []byte) (int, error) {
	for {
		c.in.mu.Lock()
		if len(c.in.buf) > 0 {
			n := copy(b, c.in.buf)
			c.in.buf = append(c.in.buf[:0], c.in.buf[n:]...)
			c.in.changed()
			c.in.mu.Unlock()
			return n, nil
		}
		closed, ready := c.in.closed, c.in.ready
		c.in.mu.Unlock()
		if closed {
			return 0, io.EOF
		}
		if err := wait(ready, c.deadline(false)); err != nil {
			return 0, err
		}
	}
}

func (c *conn) Write(b []byte) (int, error) {
	done := 0
	for done < len(b) {
		c.out.mu.Lock()
		if c.out.closed {
			c.out.mu.Unlock()
			return done, io.ErrClosedPipe
		}
		if room := c.out.size - len(c.out.buf); room > 0 {
			n := min(room, len(b)-done)
			c.out.buf = append(c.out.buf, b[done:done+n]...)
			done += n
			c.out.changed()
			c.out.mu.Unlock()
			continue
		}
		ready := c.out.ready
		c.out.mu.Unlock()
		if err := wait(ready, c.deadline(true)); err != nil {
			return done, err
		}
	}
	return done, nil
}

func (c *conn) Close() error {
	for _, h := range []*half{c.in, c.out} {
		h.mu.Lock()
		if !h.closed {
			h.closed = true
			h.changed()
		}
		h.mu.Unlock()
	}
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return addr("mem") }
func (c *conn) RemoteAddr() net.Addr { return addr("mem") }

func (c *conn) SetDeadline(t time.Time) error {
	c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.rd = t
	c.mu.Unlock()
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.wd = t
	c.mu.Unlock()
	return nil
}
