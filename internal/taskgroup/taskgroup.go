// Package taskgroup starts goroutines that have an owner: one that waits for their end and hears of their panics.
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

// Group is the goroutines of one owner. A panic ends what its goroutine serves and not the program.
type Group struct {
	Panic func(where string, r any, stack []byte) // is told of each panic

	wg sync.WaitGroup
}

// Go starts a goroutine that Wait waits for.
func (g *Group) Go(f func()) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		defer func() { g.Recovered("goroutine", recover()) }()
		f()
	}()
}

// Wait waits until all have ended.
func (g *Group) Wait() { g.wg.Wait() }

// Recovered tells Panic of a recovered value; false: there was no panic.
func (g *Group) Recovered(where string, r any) bool {
	if r == nil {
		return false
	}
	g.Panic(where, r, debug.Stack())
	return true
}

// RunRecovered runs f; false: it has panicked.
func (g *Group) RunRecovered(where string, f func()) (whole bool) {
	defer func() { whole = !g.Recovered(where, recover()) }()
	f()
	return true
}

// Accept hands the connections of a listener to f until ctx ends, which closes it, or it is closed, or its deadline passes: what
// waited to be accepted by then has been handed over. Other errors, such as a lack of descriptors, are told and waited out: the
// listener is kept.
func Accept(ctx context.Context, l net.Listener, failed func(error), f func(net.Conn)) {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			f(conn)
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded):
			return
		default:
			failed(err)
			select {
			case <-time.After(50 * time.Millisecond):
			case <-ctx.Done():
				return
			}
		}
	}
}
