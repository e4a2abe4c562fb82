package bench

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/umbergauge/umbergauge/emulator"
	"github.com/umbergauge/umbergauge/internal/config"
	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/load"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/record"
)

// SoakOptions say how long and how hard one controller is run with faults around it.
type SoakOptions struct {
	Span      time.Duration
	Every     time.Duration // between two samples
	Rate      float64       // calls a second
	Exchanges int
	Seed      uint64
	NoFaults  bool // no faults
	Program   string
}

// Sample is what the controller's process looked like at one time.
type Sample struct {
	At         time.Duration `json:"at"`
	Goroutines float64       `json:"goroutines"`
	HeapMiB    float64       `json:"heap_mib"` // in use after the last collection, and since
	RSSMiB     float64       `json:"rss_mib"`
	OpenCalls  float64       `json:"open_calls"`
	Queue      float64       `json:"event_queue"`
	Cores      float64       `json:"cores"`  // used since the last sample
	Faults     int           `json:"faults"` // made so far
}

// SoakResult is a whole soak.
type SoakResult struct {
	Samples []Sample    `json:"samples"`
	Load    load.Report `json:"load"`
	Faults  int         `json:"faults"`
}

// Soak runs a controller as a process of its own, with stand-in switches that hang, slow down, break their associations and
// restart, and a load that goes on all the time; it samples the process from its metrics.
func Soak(ctx context.Context, o SoakOptions, progress io.Writer) (res SoakResult, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var nd net.Dialer
	log := record.New()
	log.Discard()
	sn := &emulator.Network{Log: log, Listen: func(a string) (net.Listener, error) { return net.Listen("tcp", a) },
		Dial: func(ctx context.Context, a string) (net.Conn, error) { return nd.DialContext(ctx, "tcp", a) }}
	var switches []*emulator.Switch
	defer func() {
		for _, s := range switches {
			s.Close()
		}
	}()
	c := config.Default()
	c.Exchange, c.Log.Level = selfPC, "error"
	c.Classes = []config.Class{{Name: "a", Aim: 1500 * time.Millisecond, Patience: 3 * time.Second, Worth: 1}}
	c.Timers.T1, c.Timers.T5, c.Timers.T16 = 4*time.Second, 20*time.Second, 4*time.Second
	for _, to := range []*string{&c.Listen, &c.Metrics} {
		if *to, err = freeAddr(); err != nil {
			return res, err
		}
	}
	circuits := map[uint32]int{}
	for i := range o.Exchanges {
		circuits[uint32(selfPC+i)] = 500
	}
	var addrs []string
	var numbers []load.Numbers
	for i := range o.Exchanges {
		pc := uint32(selfPC + i)
		prefix := fmt.Sprintf("82%02d", i)
		s := emulator.NewSwitch(sn, emulator.SwitchConfig{PC: pc, Prefixes: []string{prefix}, Circuits: circuits, Seed: o.Seed + uint64(i),
			Rate: 2 * o.Rate / float64(o.Exchanges-1), FollowWork: 0.3, RejectWork: 0.1, FullAfter: 2 * time.Second, HangUp: 0.3, Hold: 2 * time.Second,
			ColdShare: 0.3, WarmUp: 15 * time.Second,
			Ringing: map[isup.Category]emulator.Ringing{10: {Median: time.Second, Spread: 0.5, NoAnswer: 0.02, Busy: 0.01}}})
		s.SetCallFault(emulator.CallFaultFull, 0.01)
		s.SetCallFault(emulator.CallFaultSilent, 0.01)
		switches = append(switches, s)
		a, err := s.Start("127.0.0.1:0", false)
		if err != nil {
			return res, err
		}
		addrs = append(addrs, a)
		x := config.Exchange{PointCode: pc, Switch: []string{a}, Prefixes: []string{prefix}}
		if i > 0 {
			x.Circuits = 500
			numbers = append(numbers, load.Numbers{Prefix: prefix, Length: 9, Share: 1})
		}
		c.Exchanges = append(c.Exchanges, x)
	}
	cmd, stop, err := startController(ctx, o.Program, &c, nil)
	if err != nil {
		return res, err
	}
	defer stop()
	time.Sleep(2 * time.Second)
	l := load.Default()
	l.Controller, l.Exchange, l.Clients, l.Rate, l.Span, l.Seed = c.Listen, selfPC, 4, o.Rate, o.Span, o.Seed
	l.Redials, l.Numbers = 1, numbers
	l.Classes = []load.Class{{Name: "a", Share: 1, Category: 10, Hold: 3 * time.Second, Patience: 3 * time.Second}}
	l.Burst = load.Burst{Every: 30 * time.Second, For: 5 * time.Second, Times: 1.8}
	var wg sync.WaitGroup
	defer wg.Wait()
	done := make(chan struct{})
	var loadErr error
	wg.Add(1)
	go func() {
		defer wg.Done()
		defer close(done)
		res.Load, loadErr = load.Run(ctx, &l, load.Options{})
	}()
	rng := rand.New(rand.NewPCG(o.Seed, 77))
	begin, lastCPU := time.Now(), cpuTime(cmd.Process.Pid)
	fault := time.NewTicker(3 * time.Second)
	defer fault.Stop()
	sample := time.NewTicker(o.Every)
	defer sample.Stop()
	for {
		select {
		case <-done:
			return res, loadErr
		case <-ctx.Done():
			return res, ctx.Err()
		case <-fault.C:
			if o.NoFaults || time.Since(begin) > o.Span-20*time.Second {
				continue // the end is calm, so that what is left shows
			}
			res.Faults++
			i := rng.IntN(len(switches))
			s, pc := switches[i], uint32(selfPC+i)
			span := time.Duration(1+rng.IntN(3)) * time.Second
			later := func(f func()) { time.AfterFunc(span, f) }
			switch rng.IntN(5) {
			case 0:
				s.ResetAssociations()
			case 1:
				s.Hang(true)
				later(func() { s.Hang(false) })
			case 2:
				s.Slow(3)
				later(func() { s.Slow(1) })
			case 3:
				s.CutCalls(0.5)
			case 4:
				s.Stop()
				switches[0].SendStatus(m3ua.DUNA, pc)
				later(func() {
					for range 50 {
						if _, err := s.Start(addrs[i], true); err == nil {
							break
						}
						time.Sleep(100 * time.Millisecond)
					}
					switches[0].SendStatus(m3ua.DAVA, pc)
				})
			}
		case <-sample.C:
			m, err := scrape("http://" + c.Metrics + "/metrics")
			if err != nil {
				return res, fmt.Errorf("soak: the controller does not answer: %w", err)
			}
			cpu := cpuTime(cmd.Process.Pid)
			used := (cpu - lastCPU).Seconds() / o.Every.Seconds()
			lastCPU = cpu
			x := Sample{Cores: used, At: time.Since(begin).Round(time.Second), Goroutines: m["go_goroutines"], HeapMiB: m["go_memstats_heap_inuse_bytes"] / (1 << 20),
				RSSMiB: rss(cmd.Process.Pid), OpenCalls: m["umbergauge_open_calls"], Queue: m["umbergauge_event_queue"], Faults: res.Faults}
			res.Samples = append(res.Samples, x)
			if progress != nil {
				fmt.Fprintf(progress, "%6v  goroutines %4.0f  heap %6.1f MiB  RSS %6.1f MiB  open calls %5.0f  cores %.2f  faults %d\n", x.At, x.Goroutines, x.HeapMiB, x.RSSMiB, x.OpenCalls, x.Cores, x.Faults)
			}
		}
	}
}

// scrape reads the metrics without labels.
func scrape(url string) (map[string]float64, error) {
	cl := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := cl.Get(url)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	out := map[string]float64{}
	s := bufio.NewScanner(r.Body)
	for s.Scan() {
		name, value, ok := strings.Cut(s.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			out[name] = v
		}
	}
	return out, s.Err()
}
