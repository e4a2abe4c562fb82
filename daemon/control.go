package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/umbergauge/umbergauge/controller"
)

func exchangeLabel(pc uint32) string { return strconv.FormatUint(uint64(pc), 10) }

// Limits of the control port. It reads command lines and answers with three-digit reply codes: 2xx for success, 211 with a
// text of several lines ended by a dot, 4xx for a temporary failure, 5xx for wrong use. docs/operations/control.md lists the
// commands.
const (
	maxControlConns    = 8
	controlIdleTimeout = 5 * time.Minute
)

func (d *Daemon) serveControl(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { d.controlListener.Close() })()
	var active atomic.Int32
	for {
		conn, err := d.controlListener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			select {
			case <-time.After(100 * time.Millisecond):
			case <-ctx.Done():
				return
			}
			continue
		}
		if active.Add(1) > maxControlConns {
			active.Add(-1)
			conn.Close()
			continue
		}
		d.spawn(func() {
			defer active.Add(-1)
			d.serveControlConn(ctx, conn)
		})
	}
}

// serveControlConn reads and answers the commands of one connection to the control port.
func (d *Daemon) serveControlConn(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	textConn := textproto.NewConn(&limitedConn{Conn: conn})
	textConn.PrintfLine("220 umbergauge, exchange %d", d.cfg.Exchange)
	for {
		line, err := textConn.ReadLine()
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if strings.EqualFold(words[0], "quit") {
			textConn.PrintfLine("221 bye")
			return
		}
		code, text := d.command(ctx, words)
		if len(text) == 1 {
			err = textConn.PrintfLine("%d %s", code, text[0])
		} else {
			textConn.PrintfLine("%d text follows", code)
			w := textConn.DotWriter()
			for _, l := range text {
				fmt.Fprintln(w, l)
			}
			err = w.Close()
		}
		if err != nil {
			return
		}
	}
}

// limitedConn is a connection with a deadline for every read and write and a limit on the length of lines read.
type limitedConn struct {
	net.Conn
	lineLength int
}

var errLineTooLong = errors.New("control port: line longer than 1000 octets")

func (c *limitedConn) Read(b []byte) (int, error) {
	c.SetReadDeadline(time.Now().Add(controlIdleTimeout))
	n, err := c.Conn.Read(b)
	for _, octet := range b[:n] {
		if c.lineLength++; octet == '\n' {
			c.lineLength = 0
		}
		if c.lineLength > 1000 {
			return 0, errLineTooLong
		}
	}
	return n, err
}

func (c *limitedConn) Write(b []byte) (int, error) {
	c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	return c.Conn.Write(b)
}

// command executes one command line and returns the code and the text of its reply.
func (d *Daemon) command(ctx context.Context, words []string) (int, []string) {
	verb, args := strings.ToLower(words[0]), words[1:]
	reply := func(code int, format string, v ...any) (int, []string) {
		return code, []string{fmt.Sprintf(format, v...)}
	}
	switch {
	case verb == "help":
		return 211, []string{"show calls|groups|exchanges|associations|counters|hooks", "block N, unblock N: the trunk group to exchange N",
			"hooks load: read the scripts of the settings again; hooks rollback: the version before",
			"hooks shadow FILE..., hooks shadow off: try scripts beside the live ones",
			"drain: no new calls, end when the open ones have", "quit", ""}
	case verb == "show" && len(args) == 1:
		return d.show(ctx, strings.ToLower(args[0]))
	case (verb == "block" || verb == "unblock") && len(args) == 1:
		pc, err := strconv.ParseUint(args[0], 10, 32)
		if err != nil {
			return reply(501, "%q is no point code", args[0])
		}
		if e := d.onLoop(ctx, func() { err = d.core.Block(d.now(), uint32(pc), verb == "block") }); e != nil {
			return reply(451, "%v", e)
		}
		if err != nil {
			return reply(504, "%v", err)
		}
		d.log.Warn().Uint64("exchange", pc).Msg("operator: " + verb)
		return reply(200, "group to %d: %s done", pc, verb)
	case verb == "hooks":
		if err := d.hooksCommand(ctx, args); err != nil {
			return 554, append(strings.Split(err.Error(), "\n"), "")
		}
		return reply(200, "done; show hooks tells")
	case verb == "drain" && len(args) == 0:
		d.log.Warn().Msg("operator: drain")
		d.Drain()
		return reply(200, "draining")
	}
	return reply(500, "%q is no command; help lists them", strings.Join(words, " "))
}

func (d *Daemon) show(ctx context.Context, subject string) (int, []string) {
	var text []string
	var snap snapshot
	var calls []controller.CallView
	var associations []string
	total := 0
	if err := d.onLoop(ctx, func() {
		snap = d.snapshot()
		switch subject {
		case "hooks":
			text = d.hooks.registry.Report(d.now())
		case "calls":
			calls, total = d.core.Calls(100)
		case "associations":
			for _, a := range d.associations {
				a.mu.Lock()
				associations = append(associations, fmt.Sprintf("%-40s %-9v queued %d, malformed %d, round trip %v", a, a.asp.State(), a.queue.Queued(), a.malformedCount, a.asp.RoundTrip().Round(10*time.Microsecond)))
				a.mu.Unlock()
			}
		}
	}); err != nil {
		return 451, []string{err.Error()}
	}
	switch subject {
	case "hooks":
	case "calls":
		text = append(text, fmt.Sprintf("%d calls, %d of them owed an answer", total, snap.waiting))
		for _, c := range calls {
			text = append(text, fmt.Sprintf("%8d %-9s %-14v to %d via %d, attempt %d, %v", c.ID, c.State, c.Called, c.To, c.Via, c.Attempts, c.Age.Round(time.Millisecond)))
		}
	case "groups":
		for _, g := range snap.groups {
			text = append(text, fmt.Sprintf("to %-6d free %4d of %4d, outgoing %d, incoming %d, releasing %d, resetting %d, in sync %v, dual seizures %d, resets %d, leaks %d",
				g.Far, g.Free, g.Size, g.Outgoing, g.Incoming, g.Releasing, g.Resetting, g.InSync, g.DualSeizures, g.Resets, g.Leaks))
		}
	case "exchanges":
		for _, v := range snap.views {
			state := [...]string{"ready", "draining", "gone"}[v.Health]
			if v.Cold {
				state += ", cold"
			}
			if v.Unresponsive {
				state += ", silent"
			}
			if v.Address == "" {
				state = "own"
			}
			text = append(text, fmt.Sprintf("%-6d %-22s %-18s window %5.1f, held %d, load %.2f, awaiting an answer %d", v.PointCode, v.Address, state, v.Window, v.SlotsHeld, v.Load, v.Outstanding))
		}
	case "associations":
		slices.Sort(associations)
		text = associations
	case "counters":
		c := snap.counters
		text = []string{fmt.Sprintf("offered %d, in transit %d, stood %d, refused %d, failed %d, left %d, finished %d, cut %d", c.Offered, c.Transit, c.Established, c.Refused, c.Failed, c.Abandoned, c.Finished, c.Cut),
			fmt.Sprintf("attempts %d, timed out %d, no contact %d, not sent %d, late answers %d", c.Attempts, c.TimedOut, c.NoContact, c.NotSent, c.LateAnswers),
			fmt.Sprintf("malformed %d, unexpected %d, queue full %d", c.Malformed, c.Unexpected, c.QueueFull)}
	default:
		return 501, []string{fmt.Sprintf("%q cannot be shown", subject)}
	}
	return 211, append(text, "")
}
