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

func label(pc uint32) string { return strconv.FormatUint(uint64(pc), 10) }

// The control port speaks lines with three-digit replies: 2xx done, 211 with a text that ends with a dot, 4xx not now,
// 5xx wrong use. docs/operations/control.md lists the commands.
const (
	maxOperators = 8
	operatorIdle = 5 * time.Minute
)

func (d *Daemon) serveControl(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { d.control.Close() })()
	var n atomic.Int32
	for {
		conn, err := d.control.Accept()
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
		if n.Add(1) > maxOperators {
			n.Add(-1)
			conn.Close()
			continue
		}
		d.own(func() {
			defer n.Add(-1)
			d.operator(ctx, conn)
		})
	}
}

// operator serves one connection of the control port.
func (d *Daemon) operator(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	t := textproto.NewConn(&limited{Conn: conn})
	t.PrintfLine("220 umbergauge, exchange %d", d.cfg.Exchange)
	for {
		line, err := t.ReadLine()
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if strings.EqualFold(words[0], "quit") {
			t.PrintfLine("221 bye")
			return
		}
		code, text := d.command(ctx, words)
		if len(text) == 1 {
			err = t.PrintfLine("%d %s", code, text[0])
		} else {
			t.PrintfLine("%d text follows", code)
			w := t.DotWriter()
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

// limited is a connection whose every read and write ends, and that reads no endless line.
type limited struct {
	net.Conn
	line int
}

var errLongLine = errors.New("a line of over 1000 octets")

func (l *limited) Read(b []byte) (int, error) {
	l.SetReadDeadline(time.Now().Add(operatorIdle))
	n, err := l.Conn.Read(b)
	for _, c := range b[:n] {
		if l.line++; c == '\n' {
			l.line = 0
		}
		if l.line > 1000 {
			return 0, errLongLine
		}
	}
	return n, err
}

func (l *limited) Write(b []byte) (int, error) {
	l.SetWriteDeadline(time.Now().Add(5 * time.Second))
	return l.Conn.Write(b)
}

// command carries out one line and returns a code and the text of its reply.
func (d *Daemon) command(ctx context.Context, words []string) (int, []string) {
	verb, args := strings.ToLower(words[0]), words[1:]
	one := func(code int, format string, v ...any) (int, []string) {
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
			return one(501, "%q is no point code", args[0])
		}
		if e := d.do(ctx, func() { err = d.core.Block(d.now(), uint32(pc), verb == "block") }); e != nil {
			return one(451, "%v", e)
		}
		if err != nil {
			return one(504, "%v", err)
		}
		d.log.Warn().Uint64("exchange", pc).Msg("operator: " + verb)
		return one(200, "group to %d: %s done", pc, verb)
	case verb == "hooks":
		if err := d.hooksCommand(ctx, args); err != nil {
			return 554, append(strings.Split(err.Error(), "\n"), "")
		}
		return one(200, "done; show hooks tells")
	case verb == "drain" && len(args) == 0:
		d.log.Warn().Msg("operator: drain")
		d.Drain()
		return one(200, "draining")
	}
	return one(500, "%q is no command; help lists them", strings.Join(words, " "))
}

func (d *Daemon) show(ctx context.Context, what string) (int, []string) {
	var text []string
	var s snapshot
	var calls []controller.CallView
	var links []string
	total := 0
	if err := d.do(ctx, func() {
		s = d.snapshot()
		switch what {
		case "hooks":
			text = d.hooks.book.Report(d.now())
		case "calls":
			calls, total = d.core.Calls(100)
		case "associations":
			for _, l := range d.links {
				l.mu.Lock()
				links = append(links, fmt.Sprintf("%-40s %-9v queued %d, malformed %d, round trip %v", l, l.asp.State(), l.box.Queued(), l.bad, l.asp.RoundTrip().Round(10*time.Microsecond)))
				l.mu.Unlock()
			}
		}
	}); err != nil {
		return 451, []string{err.Error()}
	}
	switch what {
	case "hooks":
	case "calls":
		text = append(text, fmt.Sprintf("%d calls, %d of them owed an answer", total, s.waiting))
		for _, c := range calls {
			text = append(text, fmt.Sprintf("%8d %-9s %-14v to %d via %d, attempt %d, %v", c.ID, c.State, c.Called, c.To, c.Via, c.Attempts, c.Age.Round(time.Millisecond)))
		}
	case "groups":
		for _, g := range s.groups {
			text = append(text, fmt.Sprintf("to %-6d free %4d of %4d, outgoing %d, incoming %d, releasing %d, resetting %d, in sync %v, dual seizures %d, resets %d, leaks %d",
				g.Far, g.Free, g.Size, g.Outgoing, g.Incoming, g.Releasing, g.Resetting, g.InSync, g.DualSeizures, g.Resets, g.Leaks))
		}
	case "exchanges":
		for _, v := range s.views {
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
			text = append(text, fmt.Sprintf("%-6d %-22s %-18s window %5.1f, held %d, load %.2f, awaiting an answer %d", v.PointCode, v.Address, state, v.Window, v.SlotsHeld, v.Load, v.Pending))
		}
	case "associations":
		slices.Sort(links)
		text = links
	case "counters":
		c := s.counters
		text = []string{fmt.Sprintf("offered %d, in transit %d, stood %d, refused %d, failed %d, left %d, finished %d, cut %d", c.Offered, c.Transit, c.Established, c.Refused, c.Failed, c.Abandoned, c.Finished, c.Cut),
			fmt.Sprintf("attempts %d, timed out %d, no contact %d, not sent %d, late answers %d", c.Attempts, c.TimedOut, c.NoContact, c.NotSent, c.LateAnswers),
			fmt.Sprintf("malformed %d, unexpected %d, queue full %d", c.Malformed, c.Unexpected, c.QueueFull)}
	default:
		return 501, []string{fmt.Sprintf("%q cannot be shown", what)}
	}
	return 211, append(text, "")
}
