// Package bench measures the full path of a call on loopback sockets: a running controller beside a bare relay, which
// passes the same frames over the same sockets with no call table and no decisions. Both run as processes of their own;
// client and switches are plain responders in this one.
package bench

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/goccy/go-yaml"

	"github.com/umbergauge/umbergauge/internal/config"
	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
)

// Options say what is measured.
type Options struct {
	Exchanges int           // the own one included
	Window    int           // calls under way at once, when calls a second are measured
	Rate      float64       // calls a second, when delay is measured
	Span      time.Duration // of each measurement
	WarmUp    time.Duration
	Program   string   // the binary that is run as controller and relay
	Profile   string   // file for the controller's CPU profile, if any
	Hooks     []string // scripts of the controller
}

// Figures are those of one subject.
type Figures struct {
	CallsPerSecond float64    `json:"calls_per_second"`
	Refused        uint64     `json:"refused"`
	DelayMicros    [4]float64 `json:"delay_us_p50_p99_p999_max"` // IAM in to IAM out
	CPUPerCall     float64    `json:"cpu_us_per_call"`
	RSSMiB         float64    `json:"rss_mib"`
	Out            float64    `json:"out"` // of the controller: calls owed an answer, on average
}

// Result is one run.
type Result struct {
	Exchanges      int        `json:"exchanges"`
	Relay          Figures    `json:"relay"`           // as many calls under way as with the controller
	Unbounded      Figures    `json:"relay_unbounded"` // sixteen times as many
	Bounded        Figures    `json:"relay_bounded"`   // as many as the controller has out
	Controller     Figures    `json:"controller"`
	Ratio          float64    `json:"calls_ratio"` // controller to relay
	RatioUnbounded float64    `json:"calls_ratio_unbounded"`
	RatioBounded   float64    `json:"calls_ratio_bounded"`
	AddedUS        [3]float64 `json:"added_delay_us_p50_p99_p999"`
	Cores          int        `json:"cores"`
}

const (
	clientPC  = 9000
	selfPC    = 1
	firstFar  = 2
	circuits  = 4000
	frameRoom = 256
)

// Run measures the relay, then the controller.
func Run(ctx context.Context, o Options) (Result, error) {
	res := Result{Exchanges: o.Exchanges, Cores: runtime.NumCPU()}
	var err error
	if res.Relay, err = measure(ctx, o, true); err != nil {
		return res, fmt.Errorf("relay: %w", err)
	}
	if res.Controller, err = measure(ctx, o, false); err != nil {
		return res, fmt.Errorf("controller: %w", err)
	}
	for _, x := range []struct {
		window float64
		to     *Figures
		ratio  *float64
	}{{float64(o.Window) * 16, &res.Unbounded, &res.RatioUnbounded}, {res.Controller.Out, &res.Bounded, &res.RatioBounded}} {
		w := o
		w.Window, w.Rate = min(4000, max(1, int(math.Round(x.window)))), 0
		if *x.to, err = measure(ctx, w, true); err != nil {
			return res, fmt.Errorf("relay: %w", err)
		}
		*x.ratio = res.Controller.CallsPerSecond / x.to.CallsPerSecond
	}
	res.Ratio = res.Controller.CallsPerSecond / res.Relay.CallsPerSecond
	for i := range res.AddedUS {
		res.AddedUS[i] = res.Controller.DelayMicros[i] - res.Relay.DelayMicros[i]
	}
	return res, nil
}

// rig is the world around one subject.
type rig struct {
	o         Options
	listeners []net.Listener
	wg        sync.WaitGroup
	sent      [1 << 16]atomic.Int64 // by call reference, when its IAM was written
	mu        sync.Mutex
	hist      *hdrhistogram.Histogram
	timing    atomic.Bool
	start     time.Time
}

func measure(ctx context.Context, o Options, relay bool) (f Figures, err error) {
	ctx, cancel := context.WithCancel(ctx)
	r := &rig{o: o, hist: hdrhistogram.New(1, 60_000_000, 3), start: time.Now()}
	defer r.wg.Wait()
	defer func() {
		for _, l := range r.listeners {
			l.Close()
		}
	}()
	defer cancel()
	var addrs []string
	for i := range o.Exchanges {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return f, err
		}
		r.listeners = append(r.listeners, l)
		addrs = append(addrs, l.Addr().String())
		r.wg.Add(1)
		go r.accept(ctx, l, uint32(selfPC+i))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return f, err
	}
	listen := l.Addr().String()
	l.Close()
	dir, err := os.MkdirTemp("", "umbergauge-bench")
	if err != nil {
		return f, err
	}
	defer os.RemoveAll(dir)
	var cmd *exec.Cmd
	metrics := ""
	if relay {
		cmd = exec.CommandContext(ctx, o.Program, append([]string{"bench", "relay", listen}, addrs...)...)
	} else {
		file := filepath.Join(dir, "controller.yaml")
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return f, err
		}
		metrics = l.Addr().String()
		l.Close()
		if err := writeSettings(file, listen, metrics, addrs, o.Hooks); err != nil {
			return f, err
		}
		cmd = exec.CommandContext(ctx, o.Program, "run", "-c", file)
		if o.Profile != "" {
			cmd.Args = append(cmd.Args, "--cpuprofile", o.Profile)
		}
	}
	cmd.WaitDelay = 3 * time.Second
	cmd.Cancel = func() error { // an orderly end, for the profile
		cmd.Process.Signal(syscall.SIGTERM)
		return cmd.Process.Signal(syscall.SIGTERM)
	}
	if err := cmd.Start(); err != nil {
		return f, err
	}
	defer func() {
		cancel()
		cmd.Wait()
	}()
	c, err := r.connect(ctx, listen)
	if err != nil {
		return f, err
	}
	defer c.conn.Close()
	if _, _, err := c.closedLoop(o.Window, o.WarmUp); err != nil { // windows grow, groups come into agreement
		return f, err
	}
	cpu := cpuTime(cmd.Process.Pid)
	outs := make(chan float64, 1)
	go func() { outs <- meanOut(metrics, o.Span) }()
	done, refused, err := c.closedLoop(o.Window, o.Span)
	f.Out = <-outs
	if err != nil {
		return f, err
	}
	f.CallsPerSecond, f.Refused = float64(done)/o.Span.Seconds(), refused
	f.CPUPerCall = float64((cpuTime(cmd.Process.Pid) - cpu).Microseconds()) / float64(max(1, done))
	if o.Rate <= 0 {
		return f, nil
	}
	r.timing.Store(true)
	if err := c.openLoop(o.Rate, o.Span); err != nil {
		return f, err
	}
	r.timing.Store(false)
	r.mu.Lock()
	for i, q := range []float64{50, 99, 99.9, 100} {
		f.DelayMicros[i] = float64(r.hist.ValueAtQuantile(q))
	}
	r.mu.Unlock()
	f.RSSMiB = rss(cmd.Process.Pid)
	return f, nil
}

// meanOut is the mean number of calls that a controller owes an answer, sampled over a span; 0 without metrics.
func meanOut(metrics string, span time.Duration) float64 {
	const samples = 20
	sum, n := 0.0, 0.0
	for range samples {
		time.Sleep(span / (samples + 2))
		if metrics == "" {
			continue
		}
		if m, err := scrape("http://" + metrics + "/metrics"); err == nil {
			sum, n = sum+m["umbergauge_waiting_calls"], n+1
		}
	}
	return sum / max(1, n)
}

func writeSettings(file, listen, metrics string, addrs, scripts []string) error {
	c := config.Default()
	c.Metrics = metrics
	c.Hooks.Files = scripts
	c.Exchange, c.Listen, c.Log.Level = selfPC, listen, "error"
	c.Classes = []config.Class{{Name: "a", Aim: 2 * time.Second, Patience: 10 * time.Second, Worth: 1}}
	for i, a := range addrs {
		x := config.Exchange{PointCode: uint32(selfPC + i), Switch: []string{a}, Prefixes: []string{fmt.Sprintf("%04d", selfPC+i)}}
		if i > 0 {
			x.Circuits = circuits
		}
		c.Exchanges = append(c.Exchanges, x)
	}
	b, err := yaml.Marshal(&c)
	if err != nil {
		return err
	}
	return os.WriteFile(file, b, 0o600)
}

// accept plays a switch: it answers each set-up at once.
func (r *rig) accept(ctx context.Context, l net.Listener, pc uint32) {
	defer r.wg.Done()
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			defer conn.Close()
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			r.respond(conn, pc)
		}()
	}
}

// respond answers frames in batches.
func (r *rig) respond(conn net.Conn, pc uint32) {
	sc := m3ua.NewScanner(conn)
	var m m3ua.Message
	var u isup.Message
	var out, user []byte
	for {
		f, err := sc.Next()
		if err != nil {
			return
		}
		if m3ua.Decode(f, &m) != nil {
			return
		}
		data := func(x *isup.Message) {
			user = isup.Append(user[:0], x)
			out = m3ua.Append(out, &m3ua.Message{Kind: m3ua.DATA, Data: m3ua.ProtocolData{OPC: m.Data.DPC, DPC: m.Data.OPC, SI: 5, NI: 2, User: user}})
		}
		switch m.Kind {
		case m3ua.ASPUP:
			out = m3ua.Append(out, &m3ua.Message{Kind: m3ua.ASPUPAck})
		case m3ua.ASPAC:
			out = m3ua.Append(out, &m3ua.Message{Kind: m3ua.ASPACAck})
		case m3ua.BEAT:
			out = m3ua.Append(out, &m3ua.Message{Kind: m3ua.BEATAck, Heartbeat: m.Heartbeat})
		case m3ua.DATA:
			if isup.Decode(m.Data.User, &u) != nil {
				return
			}
			switch u.Type {
			case isup.IAM:
				if r.timing.Load() {
					if at := r.sent[u.Ref.ID&0xffff].Load(); at > 0 {
						d := time.Since(r.start).Microseconds() - at
						r.mu.Lock()
						r.hist.RecordValue(max(1, d))
						r.mu.Unlock()
					}
				}
				data(&isup.Message{Type: isup.ACM, CIC: u.CIC})
				data(&isup.Message{Type: isup.ANM, CIC: u.CIC})
			case isup.REL:
				data(&isup.Message{Type: isup.RLC, CIC: u.CIC})
			case isup.CQM:
				s := make([]byte, int(u.Range)+1)
				for i := range s {
					s[i] = isup.CircuitIdle
				}
				data(&isup.Message{Type: isup.CQR, CIC: u.CIC, Range: u.Range, Circuits: s})
			}
		}
		if len(out) > 0 && (!sc.Buffered() || len(out) > 32*1024) {
			if _, err := conn.Write(out); err != nil {
				return
			}
			out = out[:0]
		}
	}
}

// driver is the client.
type driver struct {
	r     *rig
	conn  net.Conn
	sc    *m3ua.Scanner
	next  uint32
	calls [4096]uint8 // by circuit: 0 idle, 1 set up, 2 released
	out   []byte
	user  []byte
	iam   isup.Message
}

func (r *rig) connect(ctx context.Context, addr string) (*driver, error) {
	var d net.Dialer
	for range 200 {
		conn, err := d.DialContext(ctx, "tcp", addr)
		if err == nil {
			c := &driver{r: r, conn: conn, sc: m3ua.NewScanner(conn)}
			c.out = m3ua.Append(c.out, &m3ua.Message{Kind: m3ua.ASPUP, HasASPID: true, ASPID: clientPC})
			c.out = m3ua.Append(c.out, &m3ua.Message{Kind: m3ua.ASPAC})
			if err := c.flush(); err != nil {
				return nil, err
			}
			time.Sleep(time.Second) // its associations and queries
			return c, nil
		}
		select {
		case <-time.After(25 * time.Millisecond):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return nil, errors.New("it takes no connection")
}

func (c *driver) flush() error {
	if len(c.out) == 0 {
		return nil
	}
	_, err := c.conn.Write(c.out)
	c.out = c.out[:0]
	return err
}

// data queues a message on a circuit. The relay goes by the DPC; the controller by the called number.
func (c *driver) data(cic uint16, m *isup.Message) {
	m.CIC = cic
	c.user = isup.Append(c.user[:0], m)
	dpc := uint32(firstFar + int(cic)%(c.r.o.Exchanges-1))
	c.out = m3ua.Append(c.out, &m3ua.Message{Kind: m3ua.DATA, Data: m3ua.ProtocolData{OPC: clientPC, DPC: dpc, SI: 5, NI: 2, User: c.user}})
}

func (c *driver) call(cic uint16) {
	c.next++
	called, _ := isup.ParseNumber(4, fmt.Sprintf("%04d%06d", firstFar+int(cic)%(c.r.o.Exchanges-1), c.next%1000000))
	calling, _ := isup.ParseNumber(4, "82105550000")
	c.iam = isup.Message{Type: isup.IAM, Category: isup.CategoryOrdinary, TransmissionMedium: 3, Called: called, HasCalling: true, Calling: calling,
		HasRef: true, Ref: isup.CallReference{ID: c.next & 0xffff, PC: clientPC}}
	c.r.sent[c.next&0xffff].Store(time.Since(c.r.start).Microseconds())
	c.data(cic, &c.iam)
	c.calls[cic] = 1
}

// take handles one frame; over: the call on its circuit is over.
func (c *driver) take(f []byte) (cic uint16, over, refused bool, err error) {
	var m m3ua.Message
	var u isup.Message
	if err := m3ua.Decode(f, &m); err != nil {
		return 0, false, false, err
	}
	switch m.Kind {
	case m3ua.BEAT:
		c.out = m3ua.Append(c.out, &m3ua.Message{Kind: m3ua.BEATAck, Heartbeat: m.Heartbeat})
		return
	case m3ua.DATA:
	default:
		return
	}
	if err := isup.Decode(m.Data.User, &u); err != nil {
		return 0, false, false, err
	}
	switch u.Type {
	case isup.ANM, isup.CON:
		if c.calls[u.CIC] == 1 {
			c.calls[u.CIC] = 2
			c.data(u.CIC, &isup.Message{Type: isup.REL, Cause: isup.CauseNormal})
		}
	case isup.REL:
		c.data(u.CIC, &isup.Message{Type: isup.RLC})
		refused, over = true, c.calls[u.CIC] != 0
		c.calls[u.CIC] = 0
	case isup.RLC:
		over = c.calls[u.CIC] != 0
		c.calls[u.CIC] = 0
	}
	return u.CIC, over, refused, nil
}

// closedLoop keeps a number of calls under way for a while and counts those that are done.
func (c *driver) closedLoop(window int, span time.Duration) (done, refused uint64, err error) {
	end := time.Now().Add(span)
	open := 0
	for cic := 1; cic <= window; cic++ {
		c.call(uint16(cic))
		open++
	}
	c.conn.SetReadDeadline(end.Add(20 * time.Second))
	for open > 0 {
		if !c.sc.Buffered() {
			if err := c.flush(); err != nil {
				return done, refused, err
			}
		}
		f, err := c.sc.Next()
		if err != nil {
			return done, refused, err
		}
		cic, over, no, err := c.take(f)
		if err != nil {
			return done, refused, err
		}
		if !over {
			continue
		}
		now := time.Now()
		if no {
			refused++
		} else if now.Before(end) {
			done++
		}
		if now.Before(end) {
			c.call(cic)
		} else {
			open--
		}
	}
	return done, refused, c.flush()
}

// openLoop offers calls at a rate, whatever becomes of them, so that a slow answer delays no later call.
func (c *driver) openLoop(rate float64, span time.Duration) error {
	type word struct {
		frame []byte
		err   error
	}
	in := make(chan word, 4096)
	c.conn.SetReadDeadline(time.Now().Add(span + time.Second))
	c.r.wg.Add(1)
	go func() {
		defer c.r.wg.Done()
		defer close(in)
		for {
			f, err := c.sc.Next()
			if err != nil {
				return
			}
			in <- word{append(make([]byte, 0, frameRoom), f...), nil}
		}
	}()
	begin := time.Now()
	sent, cic := 0, 0
	var idle time.Duration = 200 * time.Microsecond
	for time.Since(begin) < span {
		for float64(sent) < rate*time.Since(begin).Seconds() {
			for range 4000 {
				cic = cic%4000 + 1
				if c.calls[cic] == 0 {
					break
				}
			}
			c.call(uint16(cic))
			sent++
			if err := c.flush(); err != nil {
				return err
			}
		}
		select {
		case w, ok := <-in:
			if !ok {
				return errors.New("the connection ended")
			}
			if _, _, _, err := c.take(w.frame); err != nil {
				return err
			}
			if err := c.flush(); err != nil {
				return err
			}
		case <-time.After(idle):
		}
	}
	for w := range in { // until the read deadline
		if _, _, _, err := c.take(w.frame); err != nil {
			return err
		}
		if err := c.flush(); err != nil {
			return err
		}
	}
	return nil
}

// Relay passes frames between a client and switches: from the client by their DPC, back as they are. It answers the
// client's and asks the switches' associations, and knows nothing else.
func Relay(ctx context.Context, listen string, addrs []string) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	defer l.Close()
	defer context.AfterFunc(ctx, func() { l.Close() })()
	client, err := l.Accept()
	if err != nil {
		return err
	}
	defer client.Close()
	type half struct {
		mu sync.Mutex
		w  *bufio.Writer
	}
	back := &half{w: bufio.NewWriterSize(client, 64*1024)}
	far := make([]*half, len(addrs))
	var wg sync.WaitGroup
	for i, a := range addrs {
		conn, err := net.Dial("tcp", a)
		if err != nil {
			return err
		}
		defer conn.Close()
		far[i] = &half{w: bufio.NewWriterSize(conn, 64*1024)}
		conn.Write(m3ua.Append(nil, &m3ua.Message{Kind: m3ua.ASPUP}))
		conn.Write(m3ua.Append(nil, &m3ua.Message{Kind: m3ua.ASPAC}))
		wg.Add(1)
		go func() {
			defer wg.Done()
			sc := m3ua.NewScanner(conn)
			for {
				f, err := sc.Next()
				if err != nil {
					return
				}
				if f[2] != 1 { // only DATA goes on
					continue
				}
				back.mu.Lock()
				back.w.Write(f)
				if !sc.Buffered() {
					back.w.Flush()
				}
				back.mu.Unlock()
			}
		}()
	}
	sc := m3ua.NewScanner(client)
	dirty := map[*half]bool{}
	for {
		f, err := sc.Next()
		if err != nil {
			return nil
		}
		if f[2] == 1 {
			// The parameter header, the OPC, and then the DPC of Protocol Data.
			dpc := int(uint32(f[16])<<24 | uint32(f[17])<<16 | uint32(f[18])<<8 | uint32(f[19]))
			if i := dpc - selfPC; i >= 0 && i < len(far) {
				far[i].w.Write(f)
				dirty[far[i]] = true
			}
		} else if m3ua.Kind(f[2])<<8|m3ua.Kind(f[3]) == m3ua.ASPUP {
			back.mu.Lock()
			back.w.Write(m3ua.Append(nil, &m3ua.Message{Kind: m3ua.ASPUPAck}))
			back.w.Write(m3ua.Append(nil, &m3ua.Message{Kind: m3ua.ASPACAck}))
			back.w.Flush()
			back.mu.Unlock()
		}
		if !sc.Buffered() {
			for h := range dirty {
				h.w.Flush()
				delete(dirty, h)
			}
		}
	}
}

// cpuTime is what a process has used so far, user and system.
func cpuTime(pid int) time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	if len(f) < 13 {
		return 0
	}
	u, _ := strconv.ParseInt(f[11], 10, 64)
	s, _ := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(u+s) * 10 * time.Millisecond
}

func rss(pid int) float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b))
	if len(f) < 2 {
		return 0
	}
	n, _ := strconv.ParseFloat(f[1], 64)
	return n * float64(os.Getpagesize()) / (1 << 20)
}
