// Command world plays the cases 6 to 10 of the review against one call controller of the deploy file: it has stand-ins of the
// switches, the name service, the callers and the platform, all on loopback addresses and the real clock. A stand-in behaves as
// the users' pages say, apart from the disruption of the case. Everything that is sent, answered and run is written to a record,
// and the rules are judged from what callers and switches have seen.
//
// Usage: world CASE RECORD. TROUBLE=0 leaves the disruption out. Exit code: 1 a rule was broken, 0 it held, 2 the case couldn't run.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Limits of the users' pages.
const (
	slack        = 50 * time.Millisecond  // every time limit is that much longer
	releaseLimit = time.Second            // from a release by the switch or the controller to the release towards the caller
	silentLimit  = 8 * time.Second        // from the end of a call if no release could be sent
	answerLimit  = 500 * time.Millisecond // a caller waits that much beyond its time and then gives up
	guard        = 200 * time.Millisecond
	drainGrace   = time.Second
	countsAsTold = 4500 * time.Millisecond // from when the name service goes silent
)

// world holds the stand-ins, the calls and what has happened to them.
type world struct {
	mu       sync.Mutex
	start    time.Time
	record   *bufio.Writer
	trouble  bool
	dir      string
	names    *names
	switches []*switchboard
	calls    map[string]*call
	order    []*call
	caller   *callers
	control  *controller
	rules    []string // the rules that this case judges
	broken   []string // how these were broken
	failed   error    // why the case can't go on
	nextID   uint64
	closing  bool
	settings string // "": the common ones
}

// call is one set-up of a caller and what became of it.
type call struct {
	id, class, at  string
	conn           *callerConn // on which it was offered
	dest           int
	sent           time.Time
	left           time.Duration
	answers        int
	answer         string
	answeredAt     time.Time
	cause          int
	standing       bool // for its caller
	gaveUp         bool
	bad            bool           // its caller is not a usual one
	given          []string       // descriptions that switches gave
	desc           string         // the one that its caller got
	attempts       []*invite      // in the order of their arrival
	overs          map[string]end // how what stood under a description ended at its switch
	releasedAt     time.Time
	attemptEndedAt time.Time // when its last attempt was given up or reset
}

// end is the end of a call at its switch, and the time within which its caller is to be told.
type end struct {
	at    time.Time
	how   string
	limit time.Duration
}

func (w *world) since() string { return fmt.Sprintf("%9.3f", time.Since(w.start).Seconds()) }

// log writes a line to the record; w.mu is held.
func (w *world) log(format string, args ...any) {
	fmt.Fprintf(w.record, "%s %s\n", w.since(), fmt.Sprintf(format, args...))
}

func (w *world) say(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log(format, args...)
}

// breaks notes a broken rule; w.mu is held. Only the rules of the case decide on its exit code.
func (w *world) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	if !slices.Contains(w.rules, rule) {
		w.log("seen, not judged by this case: %s", text)
		return
	}
	w.broken = append(w.broken, text)
	w.log("RULE BROKEN: %s", text)
}

// fails notes that the case can't go on; w.mu is held.
func (w *world) fails(format string, args ...any) {
	if w.failed == nil {
		w.failed = fmt.Errorf(format, args...)
		w.log("%v", w.failed)
	}
}

// over notes that what stood at a switch under a description has ended; w.mu is held.
func (w *world) over(id, desc, how string, limit time.Duration) {
	if c := w.calls[id]; c != nil {
		c.overs[desc] = end{time.Now(), how, limit}
	}
}

// judge checks the rules on all calls at the end of a run. disturbed: what the disruption needs has happened, which is not asked with
// TROUBLE=0.
func (w *world) judge(disturbed bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var stood, refused, failed, open, released int
	for _, c := range w.order {
		switch {
		case c.answers == 0:
			open++
		case c.answer == "accept":
			stood++
		case c.cause == 34 || c.cause == 42 || c.cause == 102:
			refused++
		default:
			failed++
		}
		if !c.releasedAt.IsZero() {
			released++
		}
		if c.bad {
			continue
		}
		// Lost: it was read and sent to a switch, and its connection ended with no answer before its time was up.
		if ends := c.conn.endedAt; c.answers == 0 && !c.gaveUp && len(c.attempts) > 0 && !ends.IsZero() && ends.Before(c.sent.Add(c.left)) {
			w.breaks("lost", "call %s, sent at %.3f with %v, reached a switch, and its connection was closed %.3f s after it was sent, with no answer", c.id,
				c.sent.Sub(w.start).Seconds(), c.left, ends.Sub(c.sent).Seconds())
		}
		if c.answers > 1 {
			w.breaks("lost", "call %s has %d answers", c.id, c.answers)
		}
		over, isOver := c.overs[c.desc]
		if c.answer != "accept" || !isOver || c.gaveUp {
			continue
		}
		limit, at := over.limit+slack, over.at.Sub(w.start).Seconds()
		switch {
		case !c.releasedAt.IsZero() && c.releasedAt.Sub(over.at) > limit:
			w.breaks("release", "call %s was over at %.3f (%s) and released towards its caller %.3f s later; limit %v", c.id, at, over.how,
				c.releasedAt.Sub(over.at).Seconds(), limit)
		case c.releasedAt.IsZero() && now.Sub(over.at) > limit:
			w.breaks("release", "call %s was over at %.3f (%s) and is left standing: no release towards its caller in %.3f s; limit %v", c.id, at, over.how,
				now.Sub(over.at).Seconds(), limit)
		}
	}
	w.log("calls: %d offered, %d stood, %d refused, %d failed, %d without an answer, %d released", len(w.order), stood, refused, failed, open, released)
	switch {
	case stood < 20 && !slices.Contains(w.rules, "guard"):
		return fmt.Errorf("only %d of %d calls stood", stood, len(w.order))
	case w.trouble && !disturbed:
		return errors.New("the disruption did not come about")
	}
	return nil
}

func main() {
	code := 2
	defer func() { os.Exit(code) }()
	if len(os.Args) != 3 || cases[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: world CASE RECORD")
		return
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	defer f.Close()
	dir, err := os.MkdirTemp("", "world")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	defer os.RemoveAll(dir)
	w := &world{start: time.Now(), record: bufio.NewWriter(f), trouble: os.Getenv("TROUBLE") != "0", dir: dir, calls: map[string]*call{}}
	defer w.record.Flush()
	w.nextID = uint64(w.start.UnixNano()) << 8
	w.log("case %s, disruption %v", os.Args[1], w.trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case s := <-stop:
			fmt.Fprintln(os.Stderr, "ended by a signal:", s)
		case <-time.After(118 * time.Second): // never longer than a run may take
			fmt.Fprintln(os.Stderr, "the case took too long")
		}
		w.control.kill()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	w.rules = cases[os.Args[1]].rules
	err = cases[os.Args[1]].run(w)
	w.mu.Lock()
	w.closing = true
	if w.failed != nil {
		err = w.failed
	}
	w.mu.Unlock()
	w.control.kill()
	if err != nil {
		w.say("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.broken {
		fmt.Println("RULE BROKEN:", s)
	}
	code = min(1, len(w.broken))
	w.log("exit code %d", code)
}

// description is a description as the pages show one, with a mark of its own.
func description(mark string) string {
	return mark + "\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
}

// freePorts returns the addresses of n free ports.
func freePorts(n int) (addrs []string, err error) {
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}
