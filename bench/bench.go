// Package bench measures calls on loopback sockets from end to end, through a running controller and, for comparison, through a
// bare relay, which passes the same frames over the same sockets without a call table and without decisions. Controller and relay
// run as processes of their own; the client and the switches are simple responders in this process.
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

// Options set what is measured.
type Options struct {
	Exchanges int           // number of exchanges, the controller's own included
	Window    int           // number of concurrent calls while throughput is measured
	Rate      float64       // calls a second while delay is measured; 0: delay is not measured
	Span      time.Duration // duration of each measurement
	WarmUp    time.Duration // duration of the closed loop before a measurement
	Program   string        // binary that is run as controller and as relay
	Profile   string        // file for the controller's CPU profile; empty: none
	Hooks     []string      // files of the controller's hook scripts
}

// Figures are the measurements of the controller or the relay.
type Figures struct {
	CallsPerSecond float64    `json:"calls_per_second"`
	Refused        uint64     `json:"refused"`
	DelayMicros    [4]float64 `json:"delay_us_p50_p99_p999_max"` // from IAM sent by the client to IAM received by the switch
	CPUPerCall     float64    `json:"cpu_us_per_call"`
	RSSMiB         float64    `json:"rss_mib"`
	Out            float64    `json:"out"` // controller only: mean number of pending calls
}

// Result is the result of one run.
type Result struct {
	Exchanges      int        `json:"exchanges"`
	Relay          Figures    `json:"relay"`           // as many concurrent calls as with the controller
	Unbounded      Figures    `json:"relay_unbounded"` // sixteen times as many concurrent calls
	Bounded        Figures    `json:"relay_bounded"`   // as many concurrent calls as the controller had pending
	Controller     Figures    `json:"controller"`
	Ratio          float64    `json:"calls_ratio"` // calls a second, controller relative to relay
	RatioUnbounded float64    `json:"calls_ratio_unbounded"`
	RatioBounded   float64    `json:"calls_ratio_bounded"`
	AddedUS        [3]float64 `json:"added_delay_us_p50_p99_p999"`
	Cores          int        `json:"cores"`
}

const (
	clientPC         = 9000
	ownPC            = 1
	firstFarPC       = 2
	circuitsPerGroup = 4000
	frameBufferSize  = 256
)

// Run measures the relay, the controller, and then the relay with other numbers of concurrent calls.
func Run(ctx context.Context, options Options) (Result, error) {
	result := Result{Exchanges: options.Exchanges, Cores: runtime.NumCPU()}
	var err error
	if result.Relay, err = measure(ctx, options, true); err != nil {
		return result, fmt.Errorf("relay: %w", err)
	}
	if result.Controller, err = measure(ctx, options, false); err != nil {
		return result, fmt.Errorf("controller: %w", err)
	}
	for _, comparison := range []struct {
		window float64
		to     *Figures
		ratio  *float64
	}{{float64(options.Window) * 16, &result.Unbounded, &result.RatioUnbounded}, {result.Controller.Out, &result.Bounded, &result.RatioBounded}} {
		comparisonOptions := options
		comparisonOptions.Window, comparisonOptions.Rate = min(4000, max(1, int(math.Round(comparison.window)))), 0
		if *comparison.to, err = measure(ctx, comparisonOptions, true); err != nil {
			return result, fmt.Errorf("relay: %w", err)
		}
		*comparison.ratio = result.Controller.CallsPerSecond / comparison.to.CallsPerSecond
	}
	result.Ratio = result.Controller.CallsPerSecond / result.Relay.CallsPerSecond
	for i := range result.AddedUS {
		result.AddedUS[i] = result.Controller.DelayMicros[i] - result.Relay.DelayMicros[i]
	}
	return result, nil
}

// testbed holds the emulated switches around one controller or relay, and its delay measurement.
type testbed struct {
	options        Options
	listeners      []net.Listener
	wg             sync.WaitGroup
	iamSentAt      [1 << 16]atomic.Int64 // time at which the IAM was written, by call reference, in microseconds since start
	mu             sync.Mutex
	delays         *hdrhistogram.Histogram
	measuringDelay atomic.Bool
	start          time.Time
}

// measure measures one process: the relay, or the controller.
func measure(ctx context.Context, options Options, relay bool) (figures Figures, err error) {
	ctx, cancel := context.WithCancel(ctx)
	bed := &testbed{options: options, delays: hdrhistogram.New(1, 60_000_000, 3), start: time.Now()}
	defer bed.wg.Wait()
	defer func() {
		for _, l := range bed.listeners {
			l.Close()
		}
	}()
	defer cancel()
	var addrs []string
	for i := range options.Exchanges {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return figures, err
		}
		bed.listeners = append(bed.listeners, l)
		addrs = append(addrs, l.Addr().String())
		bed.wg.Add(1)
		go bed.acceptAsSwitch(ctx, l, uint32(ownPC+i))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return figures, err
	}
	listen := l.Addr().String()
	l.Close()
	dir, err := os.MkdirTemp("", "umbergauge-bench")
	if err != nil {
		return figures, err
	}
	defer os.RemoveAll(dir)
	var cmd *exec.Cmd
	metrics := ""
	if relay {
		cmd = exec.CommandContext(ctx, options.Program, append([]string{"bench", "relay", listen}, addrs...)...)
	} else {
		file := filepath.Join(dir, "controller.yaml")
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return figures, err
		}
		metrics = l.Addr().String()
		l.Close()
		if err := writeSettings(file, listen, metrics, addrs, options.Hooks); err != nil {
			return figures, err
		}
		cmd = exec.CommandContext(ctx, options.Program, "run", "-c", file)
		if options.Profile != "" {
			cmd.Args = append(cmd.Args, "--cpuprofile", options.Profile)
		}
	}
	cmd.WaitDelay = 3 * time.Second
	cmd.Cancel = func() error { // graceful shutdown, so that the profile is written
		cmd.Process.Signal(syscall.SIGTERM)
		return cmd.Process.Signal(syscall.SIGTERM)
	}
	if err := cmd.Start(); err != nil {
		return figures, err
	}
	defer func() {
		cancel()
		cmd.Wait()
	}()
	client, err := bed.connect(ctx, listen)
	if err != nil {
		return figures, err
	}
	defer client.conn.Close()
	if _, _, err := client.closedLoop(options.Window, options.WarmUp); err != nil { // warm-up: windows grow, and circuit states are synchronised
		return figures, err
	}
	cpu := cpuTime(cmd.Process.Pid)
	meanPending := make(chan float64, 1)
	go func() { meanPending <- meanPendingCalls(metrics, options.Span) }()
	done, refused, err := client.closedLoop(options.Window, options.Span)
	figures.Out = <-meanPending
	if err != nil {
		return figures, err
	}
	figures.CallsPerSecond, figures.Refused = float64(done)/options.Span.Seconds(), refused
	figures.CPUPerCall = float64((cpuTime(cmd.Process.Pid) - cpu).Microseconds()) / float64(max(1, done))
	if options.Rate <= 0 {
		return figures, nil
	}
	bed.measuringDelay.Store(true)
	if err := client.openLoop(options.Rate, options.Span); err != nil {
		return figures, err
	}
	bed.measuringDelay.Store(false)
	bed.mu.Lock()
	for i, q := range []float64{50, 99, 99.9, 100} {
		figures.DelayMicros[i] = float64(bed.delays.ValueAtQuantile(q))
	}
	bed.mu.Unlock()
	figures.RSSMiB = rssMiB(cmd.Process.Pid)
	return figures, nil
}

// meanPendingCalls is the mean number of calls pending at a controller, sampled over a span; 0 without metrics.
func meanPendingCalls(metrics string, span time.Duration) float64 {
	const samples = 20
	sum, count := 0.0, 0.0
	for range samples {
		time.Sleep(span / (samples + 2))
		if metrics == "" {
			continue
		}
		if metricValues, err := scrape("http://" + metrics + "/metrics"); err == nil {
			sum, count = sum+metricValues["umbergauge_waiting_calls"], count+1
		}
	}
	return sum / max(1, count)
}

// writeSettings writes a settings file for the controller.
func writeSettings(file, listen, metrics string, addrs, scripts []string) error {
	cfg := config.Default()
	cfg.Metrics = metrics
	cfg.Hooks.Files = scripts
	cfg.Exchange, cfg.Listen, cfg.Log.Level = ownPC, listen, "error"
	cfg.Classes = []config.Class{{Name: "a", Aim: 2 * time.Second, Patience: 10 * time.Second, Worth: 1}}
	for i, addr := range addrs {
		exchange := config.Exchange{PointCode: uint32(ownPC + i), Switch: []string{addr}, Prefixes: []string{fmt.Sprintf("%04d", ownPC+i)}}
		if i > 0 {
			exchange.Circuits = circuitsPerGroup
		}
		cfg.Exchanges = append(cfg.Exchanges, exchange)
	}
	data, err := yaml.Marshal(&cfg)
	if err != nil {
		return err
	}
	return os.WriteFile(file, data, 0o600)
}

// acceptAsSwitch accepts connections as a switch that answers each set-up at once.
func (bed *testbed) acceptAsSwitch(ctx context.Context, l net.Listener, pc uint32) {
	defer bed.wg.Done()
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		bed.wg.Add(1)
		go func() {
			defer bed.wg.Done()
			defer conn.Close()
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			bed.respondAsSwitch(conn, pc)
		}()
	}
}

// respondAsSwitch responds to the frames of one connection, in batches.
func (bed *testbed) respondAsSwitch(conn net.Conn, pc uint32) {
	scanner := m3ua.NewScanner(conn)
	var msg m3ua.Message
	var isupMsg isup.Message
	var replies, userPart []byte
	for {
		frame, err := scanner.Next()
		if err != nil {
			return
		}
		if m3ua.Decode(frame, &msg) != nil {
			return
		}
		reply := func(x *isup.Message) {
			userPart = isup.Append(userPart[:0], x)
			replies = m3ua.Append(replies, &m3ua.Message{Kind: m3ua.DATA, Data: m3ua.ProtocolData{OPC: msg.Data.DPC, DPC: msg.Data.OPC, SI: 5, NI: 2, User: userPart}})
		}
		switch msg.Kind {
		case m3ua.ASPUP:
			replies = m3ua.Append(replies, &m3ua.Message{Kind: m3ua.ASPUPAck})
		case m3ua.ASPAC:
			replies = m3ua.Append(replies, &m3ua.Message{Kind: m3ua.ASPACAck})
		case m3ua.BEAT:
			replies = m3ua.Append(replies, &m3ua.Message{Kind: m3ua.BEATAck, Heartbeat: msg.Heartbeat})
		case m3ua.DATA:
			if isup.Decode(msg.Data.User, &isupMsg) != nil {
				return
			}
			switch isupMsg.Type {
			case isup.IAM:
				if bed.measuringDelay.Load() {
					if at := bed.iamSentAt[isupMsg.Ref.ID&0xffff].Load(); at > 0 {
						delay := time.Since(bed.start).Microseconds() - at
						bed.mu.Lock()
						bed.delays.RecordValue(max(1, delay))
						bed.mu.Unlock()
					}
				}
				reply(&isup.Message{Type: isup.ACM, CIC: isupMsg.CIC})
				reply(&isup.Message{Type: isup.ANM, CIC: isupMsg.CIC})
			case isup.REL:
				reply(&isup.Message{Type: isup.RLC, CIC: isupMsg.CIC})
			case isup.CQM:
				states := make([]byte, int(isupMsg.Range)+1)
				for i := range states {
					states[i] = isup.CircuitIdle
				}
				reply(&isup.Message{Type: isup.CQR, CIC: isupMsg.CIC, Range: isupMsg.Range, Circuits: states})
			}
		}
		if len(replies) > 0 && (!scanner.Buffered() || len(replies) > 32*1024) {
			if _, err := conn.Write(replies); err != nil {
				return
			}
			replies = replies[:0]
		}
	}
}

// driver is the client that makes the calls.
type driver struct {
	bed           *testbed
	conn          net.Conn
	scanner       *m3ua.Scanner
	lastReference uint32
	calls         [4096]uint8 // by circuit: 0 idle, 1 being set up, 2 REL sent after the answer
	pending       []byte
	userPart      []byte
	iam           isup.Message
}

// connect connects the client to the controller or relay, which may still be starting.
func (bed *testbed) connect(ctx context.Context, addr string) (*driver, error) {
	var d net.Dialer
	for range 200 {
		conn, err := d.DialContext(ctx, "tcp", addr)
		if err == nil {
			c := &driver{bed: bed, conn: conn, scanner: m3ua.NewScanner(conn)}
			c.pending = m3ua.Append(c.pending, &m3ua.Message{Kind: m3ua.ASPUP, HasASPID: true, ASPID: clientPC})
			c.pending = m3ua.Append(c.pending, &m3ua.Message{Kind: m3ua.ASPAC})
			if err := c.flush(); err != nil {
				return nil, err
			}
			time.Sleep(time.Second) // for the controller's associations and circuit queries
			return c, nil
		}
		select {
		case <-time.After(25 * time.Millisecond):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return nil, errors.New("no connection accepted within 200 attempts")
}

// flush writes the pending frames.
func (c *driver) flush() error {
	if len(c.pending) == 0 {
		return nil
	}
	_, err := c.conn.Write(c.pending)
	c.pending = c.pending[:0]
	return err
}

// data queues a message on a circuit. The relay routes by the DPC, the controller by the called number.
func (c *driver) data(cic uint16, msg *isup.Message) {
	msg.CIC = cic
	c.userPart = isup.Append(c.userPart[:0], msg)
	dpc := uint32(firstFarPC + int(cic)%(c.bed.options.Exchanges-1))
	c.pending = m3ua.Append(c.pending, &m3ua.Message{Kind: m3ua.DATA, Data: m3ua.ProtocolData{OPC: clientPC, DPC: dpc, SI: 5, NI: 2, User: c.userPart}})
}

// call queues the IAM of a new call on a circuit.
func (c *driver) call(cic uint16) {
	c.lastReference++
	called, _ := isup.ParseNumber(4, fmt.Sprintf("%04d%06d", firstFarPC+int(cic)%(c.bed.options.Exchanges-1), c.lastReference%1000000))
	calling, _ := isup.ParseNumber(4, "82105550000")
	c.iam = isup.Message{Type: isup.IAM, Category: isup.CategoryOrdinary, TransmissionMedium: 3, Called: called, HasCalling: true, Calling: calling,
		HasRef: true, Ref: isup.CallReference{ID: c.lastReference & 0xffff, PC: clientPC}}
	c.bed.iamSentAt[c.lastReference&0xffff].Store(time.Since(c.bed.start).Microseconds())
	c.data(cic, &c.iam)
	c.calls[cic] = 1
}

// handleFrame handles one frame; ended is true if the call on its circuit has ended with it.
func (c *driver) handleFrame(frame []byte) (cic uint16, ended, refused bool, err error) {
	var msg m3ua.Message
	var isupMsg isup.Message
	if err := m3ua.Decode(frame, &msg); err != nil {
		return 0, false, false, err
	}
	switch msg.Kind {
	case m3ua.BEAT:
		c.pending = m3ua.Append(c.pending, &m3ua.Message{Kind: m3ua.BEATAck, Heartbeat: msg.Heartbeat})
		return
	case m3ua.DATA:
	default:
		return
	}
	if err := isup.Decode(msg.Data.User, &isupMsg); err != nil {
		return 0, false, false, err
	}
	switch isupMsg.Type {
	case isup.ANM, isup.CON:
		if c.calls[isupMsg.CIC] == 1 {
			c.calls[isupMsg.CIC] = 2
			c.data(isupMsg.CIC, &isup.Message{Type: isup.REL, Cause: isup.CauseNormal})
		}
	case isup.REL:
		c.data(isupMsg.CIC, &isup.Message{Type: isup.RLC})
		refused, ended = true, c.calls[isupMsg.CIC] != 0
		c.calls[isupMsg.CIC] = 0
	case isup.RLC:
		ended = c.calls[isupMsg.CIC] != 0
		c.calls[isupMsg.CIC] = 0
	}
	return isupMsg.CIC, ended, refused, nil
}

// closedLoop keeps a number of concurrent calls for a span and counts those completed and refused.
func (c *driver) closedLoop(window int, span time.Duration) (done, refused uint64, err error) {
	end := time.Now().Add(span)
	open := 0
	for cic := 1; cic <= window; cic++ {
		c.call(uint16(cic))
		open++
	}
	c.conn.SetReadDeadline(end.Add(20 * time.Second))
	for open > 0 {
		if !c.scanner.Buffered() {
			if err := c.flush(); err != nil {
				return done, refused, err
			}
		}
		frame, err := c.scanner.Next()
		if err != nil {
			return done, refused, err
		}
		cic, ended, rejected, err := c.handleFrame(frame)
		if err != nil {
			return done, refused, err
		}
		if !ended {
			continue
		}
		now := time.Now()
		if rejected {
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

// openLoop offers calls at a rate, independent of their outcomes, so that a slow answer does not delay later calls.
func (c *driver) openLoop(rate float64, span time.Duration) error {
	type received struct {
		frame []byte
		err   error
	}
	incoming := make(chan received, 4096)
	c.conn.SetReadDeadline(time.Now().Add(span + time.Second))
	c.bed.wg.Add(1)
	go func() {
		defer c.bed.wg.Done()
		defer close(incoming)
		for {
			buffer, err := c.scanner.Next()
			if err != nil {
				return
			}
			incoming <- received{append(make([]byte, 0, frameBufferSize), buffer...), nil}
		}
	}()
	start := time.Now()
	sent, cic := 0, 0
	var pollInterval time.Duration = 200 * time.Microsecond
	for time.Since(start) < span {
		for float64(sent) < rate*time.Since(start).Seconds() {
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
		case w, ok := <-incoming:
			if !ok {
				return errors.New("the connection was closed during the open loop")
			}
			if _, _, _, err := c.handleFrame(w.frame); err != nil {
				return err
			}
			if err := c.flush(); err != nil {
				return err
			}
		case <-time.After(pollInterval):
		}
	}
	for w := range incoming { // until the read deadline expires
		if _, _, _, err := c.handleFrame(w.frame); err != nil {
			return err
		}
		if err := c.flush(); err != nil {
			return err
		}
	}
	return nil
}

// Relay passes frames between one client and switches: DATA from the client to the switch of its DPC, DATA from the switches to
// the client. It sets up the associations on both sides and does nothing else.
func Relay(ctx context.Context, listen string, addrs []string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	defer listener.Close()
	defer context.AfterFunc(ctx, func() { listener.Close() })()
	client, err := listener.Accept()
	if err != nil {
		return err
	}
	defer client.Close()
	type peer struct {
		mu sync.Mutex
		w  *bufio.Writer
	}
	toClient := &peer{w: bufio.NewWriterSize(client, 64*1024)}
	switches := make([]*peer, len(addrs))
	var wg sync.WaitGroup
	for i, addr := range addrs {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return err
		}
		defer conn.Close()
		switches[i] = &peer{w: bufio.NewWriterSize(conn, 64*1024)}
		conn.Write(m3ua.Append(nil, &m3ua.Message{Kind: m3ua.ASPUP}))
		conn.Write(m3ua.Append(nil, &m3ua.Message{Kind: m3ua.ASPAC}))
		wg.Add(1)
		go func() {
			defer wg.Done()
			scanner := m3ua.NewScanner(conn)
			for {
				frame, err := scanner.Next()
				if err != nil {
					return
				}
				if frame[2] != 1 { // only messages of the Transfer class (DATA) are relayed
					continue
				}
				toClient.mu.Lock()
				toClient.w.Write(frame)
				if !scanner.Buffered() {
					toClient.w.Flush()
				}
				toClient.mu.Unlock()
			}
		}()
	}
	scanner := m3ua.NewScanner(client)
	dirty := map[*peer]bool{}
	for {
		frame, err := scanner.Next()
		if err != nil {
			return nil
		}
		if frame[2] == 1 {
			// The DPC follows the common header (8 octets), and the parameter header and OPC (4 each) of Protocol Data.
			dpc := int(uint32(frame[16])<<24 | uint32(frame[17])<<16 | uint32(frame[18])<<8 | uint32(frame[19]))
			if i := dpc - ownPC; i >= 0 && i < len(switches) {
				switches[i].w.Write(frame)
				dirty[switches[i]] = true
			}
		} else if m3ua.Kind(frame[2])<<8|m3ua.Kind(frame[3]) == m3ua.ASPUP {
			toClient.mu.Lock()
			toClient.w.Write(m3ua.Append(nil, &m3ua.Message{Kind: m3ua.ASPUPAck}))
			toClient.w.Write(m3ua.Append(nil, &m3ua.Message{Kind: m3ua.ASPACAck}))
			toClient.w.Flush()
			toClient.mu.Unlock()
		}
		if !scanner.Buffered() {
			for written := range dirty {
				written.w.Flush()
				delete(dirty, written)
			}
		}
	}
}

// cpuTime returns the user and system CPU time used by a process so far.
func cpuTime(pid int) time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond
}

// rssMiB returns the resident set size of a process in MiB.
func rssMiB(pid int) float64 {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(statm))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}
