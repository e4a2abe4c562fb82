// Package taskgroup starts goroutines on behalf of an owner, which waits for them and is notified of their panics.
package taskgroup

import (
	"context"
	"errors"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"time"
)

// Group holds the goroutines of one owner. A panic ends only the goroutine in which it occurs, not the program.
type Group struct {
	Panic func(where string, r any, stack []byte) // called for each panic

	wg sync.WaitGroup
}

// Go runs f in a new goroutine.
func (g *Group) Go(f func()) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		defer func() { g.Recovered("goroutine", recover()) }()
		f()
	}()
}

// Wait waits until all goroutines that Go has started have ended.
func (g *Group) Wait() { g.wg.Wait() }

// Recovered passes r, the result of recover, to Panic. It reports whether there was a panic, that is, whether r is not nil.
func (g *Group) Recovered(where string, r any) bool {
	if r == nil {
		return false
	}
	g.Panic(where, r, debug.Stack())
	return true
}

// RunRecovered runs f and recovers from a panic. It reports whether f returned without a panic.
func (g *Group) RunRecovered(where string, f func()) (completed bool) {
	defer func() { completed = !g.Recovered(where, recover()) }()
	f()
	return true
}

// Accept passes the connections of a listener to handle until the listener is closed or its deadline passes; the end of ctx closes
// it. Any other error, such as a lack of file descriptors, is passed to onError, and Accept continues after 50 ms.
func Accept(ctx context.Context, l net.Listener, onError func(error), handle func(net.Conn)) {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			handle(conn)
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded):
			return
		default:
			onError(err)
			select {
			case <-time.After(50 * time.Millisecond):
			case <-ctx.Done():
				return
			}
		}
	}
}
