// Package memnet is an in-memory network for tests. Connections are buffered pipes, so that under testing/synctest simulations of
// whole days run in exact virtual time and without sockets.
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
	nextPort  int
}

// Listen opens a listener; with port 0 it picks a free port.
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
		n.nextPort++
		addr = net.JoinHostPort(host, fmt.Sprint(10000+n.nextPort))
	}
	if n.listeners[addr] != nil {
		return nil, errors.New("address in use")
	}
	l := &listener{net: n, addr: addr, conns: make(chan net.Conn, 128), done: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects to the listener at addr.
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

// direction is one direction of a connection.
type direction struct {
	mu       sync.Mutex
	buf      []byte
	capacity int
	closed   bool
	changed  chan struct{} // closed and replaced on each change of the fields above
}

// broadcast wakes all goroutines that wait for a change. d.mu must be held.
func (d *direction) broadcast() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// wake makes a Read or Write in progress look at its deadline again, as on a socket.
func (d *direction) wake() {
	d.mu.Lock()
	d.broadcast()
	d.mu.Unlock()
}

// Pipe returns the two ends of a connection; each direction buffers up to capacity bytes.
func Pipe(capacity int) (net.Conn, net.Conn) {
	forward, backward := &direction{capacity: capacity, changed: make(chan struct{})}, &direction{capacity: capacity, changed: make(chan struct{})}
	return &conn{in: forward, out: backward}, &conn{in: backward, out: forward}
}

type conn struct {
	in, out                     *direction
	mu                          sync.Mutex
	readDeadline, writeDeadline time.Time
}

// deadline returns the write deadline or the read deadline.
func (c *conn) deadline(write bool) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if write {
		return c.writeDeadline
	}
	return c.readDeadline
}

// wait waits until changed is closed, at most until the deadline.
func wait(changed chan struct{}, deadline time.Time) error {
	if deadline.IsZero() {
		<-changed
		return nil
	}
	d := time.Until(deadline)
	if d <= 0 {
		return os.ErrDeadlineExceeded
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
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
			c.in.broadcast()
			c.in.mu.Unlock()
			return n, nil
		}
		closed, changed := c.in.closed, c.in.changed
		c.in.mu.Unlock()
		if closed {
			return 0, io.EOF
		}
		if err := wait(changed, c.deadline(false)); err != nil {
			return 0, err
		}
	}
}

func (c *conn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		c.out.mu.Lock()
		if c.out.closed {
			c.out.mu.Unlock()
			return written, io.ErrClosedPipe
		}
		if free := c.out.capacity - len(c.out.buf); free > 0 {
			n := min(free, len(b)-written)
			c.out.buf = append(c.out.buf, b[written:written+n]...)
			written += n
			c.out.broadcast()
			c.out.mu.Unlock()
			continue
		}
		changed := c.out.changed
		c.out.mu.Unlock()
		if err := wait(changed, c.deadline(true)); err != nil {
			return written, err
		}
	}
	return written, nil
}

func (c *conn) Close() error {
	for _, d := range []*direction{c.in, c.out} {
		d.mu.Lock()
		if !d.closed {
			d.closed = true
			d.broadcast()
		}
		d.mu.Unlock()
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
	c.readDeadline = t
	c.mu.Unlock()
	c.in.wake()
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	c.out.wake()
	return nil
}
